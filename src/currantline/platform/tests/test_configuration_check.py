"""Tests of the check of a configuration before it is sent."""

import copy
import json
from typing import Any

import pytest

from currantline.exceptions import ConfigurationError
from currantline.platform import decode_route_table
from currantline.platform.configuration_check import (
    MAX_DOCUMENT_BYTES,
    Difference,
    check_configuration,
)
from currantline.platform.samples import make_configuration

ABSENT = "ABSENT"
ODD_VALUES: list[Any] = [
    *(ABSENT, None, True, -1, 0, "", "x", [], {}, [1], 1e300, float("nan")),
    *(float("inf"), -float("inf"), 10**400, "\ud800", [[[{}]]], {"x": {"y": [0]}}),
]
PAIR = [{"service": "svc", "weight": 1}, {"service": "two", "weight": 0}]
# Path of a value, the value in the broken configuration, and where it is found.
BROKEN: list[tuple[str, Any, str]] = [
    ("version", "1c", "version"),
    ("version", "0000001g", "version"),
    ("routes", ABSENT, "routes"),
    ("services", [], "services"),
    ("limits", [1], "limits"),
    ("routes.read", "x", "routes.read"),
    ("routes.read.timeoutMs", 399, "routes.read.timeoutMs"),
    ("routes.read.timeoutMs", "x", "routes.read.timeoutMs"),
    ("routes.read.timeoutMs", ABSENT, "routes.read.timeoutMs"),
    ("routes.read.maxAttempts", 0, "routes.read.maxAttempts"),
    ("routes.read.host", "", "routes.read.host"),
    ("routes.read.prefix", "read/", "routes.read.prefix"),
    ("routes.read.prefix", "/read", "routes.read.prefix"),
    ("routes.orders.prefix", "/read/", "routes.orders"),
    ("routes.read.service", "none", "routes.read.service"),
    (
        "routes.read.trafficSplit",
        [{"service": "none", "weight": 1}],
        "routes.read.trafficSplit.0.service",
    ),
    (
        "routes.read.trafficSplit",
        [{"service": "svc", "weight": 0}],
        "routes.read.trafficSplit",
    ),
    ("routes.read.trafficSplit", [PAIR[1], PAIR[1]], "routes.read.trafficSplit"),
    ("services.svc.healthPath", 7, "services.svc.healthPath"),
    ("services.svc.maxConnections", 0, "services.svc.maxConnections"),
    ("services.svc.warmupS", 3, "services.svc.warmupS"),
    ("services.svc.warmupPerS", 3, "services.svc.warmupPerS"),
    ("limits.maxBodyBytes", 16383, "limits.headerBytes"),
    ("limits.idleTimeoutMs", 2999, "limits.idleTimeoutMs"),
    ("limits.headerBytes", -1, "limits.headerBytes"),
]
WARNED: list[tuple[str, Any, str]] = [
    ("routes.read.kind", "stream", "routes.read.kind"),
    ("routes.orders.service", "svc", "services.two"),
    ("routes.read.trafficSplit", PAIR, "routes.read.trafficSplit.1.weight"),
]


def make_sound(version: int = 5) -> dict[str, Any]:
    """Return the sample with a route to each of its services."""
    document = make_configuration(version)
    document["routes"]["orders"]["service"] = "two"
    return document


def change(path: str, value: Any) -> dict[str, Any]:
    """Return the sound sample with one value changed or removed."""
    document = make_sound()
    *parents, key = path.split(".")
    table = document
    for parent in parents:
        table = table[parent]
    if value is ABSENT:
        table.pop(key, None)
    else:
        table[key] = copy.deepcopy(value)
    return document


def encode(document: Any) -> bytes:
    """Return a document as it lies in the store."""
    return json.dumps(document).encode()


class TestCheckConfiguration:
    """Findings in one configuration."""

    def test_sound(self) -> None:
        """Guards against findings that teach operators to ignore the check."""
        assert check_configuration(encode(make_sound())).findings == ()
        document = make_sound()
        document["routes"]["read"]["trafficSplit"] = [PAIR[0]]
        document["services"]["svc"].update(warmupS=3, warmupPerS=2)
        assert check_configuration(encode(document)).findings == ()

    @pytest.mark.parametrize(("path", "value", "where"), BROKEN)
    def test_broken(self, path: str, value: Any, where: str) -> None:
        """Guards against a fault that is missed or found at another path."""
        check = check_configuration(encode(change(path, value)))
        assert where in {f.path for f in check.findings if f.severity == "error"}

    @pytest.mark.parametrize(("path", "value", "where"), WARNED)
    def test_warnings(self, path: str, value: Any, where: str) -> None:
        """Guards against a warning that stops a usable configuration."""
        check = check_configuration(encode(change(path, value)))
        found = [(finding.severity, finding.path) for finding in check.findings]
        assert found == [("warning", where)]

    @pytest.mark.parametrize(
        "path",
        [
            *("version", "routes", "services", "limits", "routes.read"),
            *("services.svc", "routes.read.trafficSplit"),
            *(f"routes.read.{key}" for key in make_sound()["routes"]["read"]),
            *("services.svc.healthPath", "services.svc.maxConnections"),
            *("services.svc.warmupS", "services.svc.warmupPerS"),
            *(f"limits.{key}" for key in make_sound()["limits"]),
        ],
    )
    def test_judges_as_instances(self, path: str) -> None:
        """Guards against a configuration that passes and that instances refuse.

        The finding must also be at the value that is refused.
        """
        for document in (change(path, value) for value in ODD_VALUES):
            check = check_configuration(encode(document))
            try:
                decode_route_table(json.dumps(document))
            except ConfigurationError:
                errors = [f.path for f in check.findings if f.severity == "error"]
                assert any(error.startswith(path) for error in errors), document

    @pytest.mark.parametrize(
        "data",
        [
            *(b"", b"[]", b"1", b"null", b'"x"', b"\xff\xfe{\x00}\x00", b"\x00"),
            *(b"\xef\xbb\xbf{}", b"{", b"[" * 100_000, b'{"routes":' * 50_000),
            b'{"version":"00000001","routes":{},"services":{},"x":%s}'
            % (b"[" * 900 + b"]" * 900),
            b'{"version":"00000001","routes":{},"services":{},"x":%s}' % (b"9" * 5000),
            b'{"version":"00000001","routes":{},"services":{},"%s":1}' % (b"k" * 257),
            b" " * (MAX_DOCUMENT_BYTES + 1),
        ],
        ids=lambda data: repr(data[:12]),
    )
    def test_odd_input(self, data: bytes) -> None:
        """Guards against a stack trace, or no finding, for another kind of file."""
        assert check_configuration(data).has_errors
        assert check_configuration(encode(make_sound()), data).has_errors

    @pytest.mark.parametrize(
        ("table", "field"), [("read", "timeoutMs"), ("svc", "warmupS")]
    )
    def test_one_finding(self, table: str, field: str) -> None:
        """Guards against a refused value found twice or only at its table."""
        document = make_sound()
        tables = {**document["routes"], **document["services"]}
        tables["svc"].update(warmupS=3, warmupPerS=2)
        tables[table][field] = "x"
        (finding,) = check_configuration(encode(document)).findings
        assert finding.path.endswith(f".{table}.{field}")

    def test_duplicate_keys(self) -> None:
        """Guards against a route that a later one of the same name replaces."""
        text = json.dumps(make_sound()).replace('"orders":', '"read":')
        found = check_configuration(text.encode()).findings
        assert [f.path for f in found if f.severity == "error"] == ["routes.read"]


class TestDifferences:
    """Comparison with the version in force."""

    def test_differences(self) -> None:
        """Guards against a change that is not shown before it is sent."""
        old, new = make_sound(5), make_sound(6)
        new["routes"]["read"]["timeoutMs"] = 1600
        new["services"]["svc"]["warmupS"] = True
        old["services"]["svc"]["warmupS"] = 1
        del new["limits"]["headerBytes"]
        new["services"]["more"] = {}
        old["services"]["two"]["x"], new["services"]["two"]["x"] = {"y": 1}, {"y": 2}
        assert check_configuration(encode(new), encode(old)).differences == (
            Difference(kind="removed", path="limits.headerBytes", old=16384),
            Difference(
                kind="changed", path="routes.read.timeoutMs", old=1500, new=1600
            ),
            Difference(kind="added", path="services.more", new={}),
            Difference(kind="changed", path="services.svc.warmupS", old=1, new=True),
            Difference(
                kind="changed", path="services.two.x", old={"y": 1}, new={"y": 2}
            ),
            Difference(kind="changed", path="version", old="00000005", new="00000006"),
        )

    @pytest.mark.parametrize(("version", "code"), [(4, 1), (5, 1), (6, 0)])
    def test_version(self, version: int, code: int) -> None:
        """Guards against a version that instances ignore as not newer."""
        old = encode(make_sound(5))
        check = check_configuration(encode(make_sound(version)), old)
        assert [f.path for f in check.findings] == ["version"] * code
