"""Test that names of the platform occur in the adapter package only."""

import re
from pathlib import Path

import currantline

PACKAGE = Path(currantline.__file__).parent
NAMES = re.compile(
    r"selfNode|internalPortRange|kv-range|kv-watch|warmupLeftMs|targetLatencyMs"
    r"|trafficSplit|maxAttempts|healthPath|X-Currantline|x-currantline"
    r"|CURRANTLINE_BOOT|/-/resolve|/-/readiness",
)


class TestPlatformNames:
    """Names of the platform's fields, paths and headers."""

    def test_only_in_the_adapter(self) -> None:
        """Guards against names of the platform outside the adapter package."""
        found = [
            str(path.relative_to(PACKAGE))
            for path in PACKAGE.rglob("*.py")
            if "platform" not in path.parts[len(PACKAGE.parts) :]
            and "tests" not in path.parts
            and path.parts[-2] != "standin"
            and NAMES.search(path.read_text(encoding="utf-8"))
        ]
        assert found == []
