#!/bin/sh
# Builds what the scripts of folders 6 to 10 start: Python programs that need no other
# package than the standard library. Compiling them shows that they can be read.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
find review/doubles review/[6-9] review/10 -name '*.py' 2>/dev/null |
    while read -r file; do
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
    done
