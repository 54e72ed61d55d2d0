"""Expected failures: the tests that are listed in ``KNOWN-RED.txt``."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"


def read_known_red(text: str) -> dict[str, str]:
    r"""Return the entries that start with a test id, by this id.

    Examples
    --------
    >>> read_known_red("# Title.\nsrc/test_a.py::test_b[x], `make test`: seen.")
    {'src/test_a.py::test_b[x]': '`make test`: seen.'}
    """
    entries = (line.partition(", ") for line in text.splitlines())
    return {name: rest for name, _, rest in entries if "::" in name}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail; one that passes is an error.

    The entry of a test that passes has to be removed.
    """
    known_red = read_known_red(KNOWN_RED.read_text(encoding="utf-8"))
    for item in items:
        if reason := known_red.get(item.nodeid):
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))
