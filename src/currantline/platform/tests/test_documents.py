"""Tests of decoding documents of the platform's store."""

import json
from typing import Any

import pytest

from currantline.exceptions import ConfigurationError
from currantline.platform import decode_route_table, decode_target
from currantline.platform.samples import make_configuration, make_target_entry


class TestDecodeRouteTable:
    """Decoding the configuration."""

    def test_fields(self) -> None:
        """Guards against platform fields mapped to the wrong attributes."""
        table = decode_route_table(json.dumps(make_configuration(0x1C)))
        assert table.version == 28
        route = table.find("shop.example", "/orders/7")
        assert route is not None
        assert not route.is_idempotent
        assert (route.timeout_ms, route.objective_ms) == (2000.0, 500.0)
        assert (route.max_attempts, route.priority) == (2, 1)
        assert table.limits.head_bytes == 16384
        assert table.services["svc"].health_path == "/health"

    def test_warmup(self) -> None:
        """Guards against a bound on cold targets the configuration lacks."""
        document = make_configuration(1, warmup=(3.0, 2.0))
        service = decode_route_table(json.dumps(document)).services["svc"]
        assert (service.warmup_ms, service.warmup_per_s) == (3_000.0, 2.0)
        service = decode_route_table(json.dumps(make_configuration(1))).services["svc"]
        assert (service.warmup_ms, service.warmup_per_s) == (0.0, None)
        document["services"]["svc"]["warmupPerS"] = -1
        with pytest.raises(ConfigurationError):
            decode_route_table(json.dumps(document))

    def test_split(self) -> None:
        """Guards against a traffic split that keeps only one of its parts."""
        document = make_configuration(1)
        route = document["routes"]["read"]
        del route["service"]
        parts = [{"service": "svc", "weight": 90}, {"service": "two", "weight": 10}]
        route["trafficSplit"] = parts
        found = decode_route_table(json.dumps(document)).find("shop.example", "/read/")
        assert found is not None
        assert [share.weight for share in found.weighted_services] == [90.0, 10.0]

    @pytest.mark.parametrize(
        "text", ["", "[]", "{}", '{"version":"x","routes":{},"services":{}}']
    )
    def test_unusable(self, text: str) -> None:
        """Guards against a malformed document replacing a valid configuration."""
        with pytest.raises(ConfigurationError):
            decode_route_table(text)

    @pytest.mark.parametrize(
        ("section", "field", "value"),
        [
            ("routes", "timeoutMs", "NaN"),
            ("routes", "timeoutMs", "-1e999"),
            ("routes", "timeoutMs", "-1"),
            ("routes", "targetLatencyMs", "1e999"),
            ("routes", "prefix", "[]"),
            ("routes", "service", "{}"),
            ("routes", "service", "NaN"),
            ("routes", "trafficSplit", '[{"service":"svc","weight":NaN}]'),
            (
                "routes",
                "trafficSplit",
                '[{"service":"svc","weight":0},{"service":"two","weight":0}]',
            ),
            ("services", "healthPath", "7"),
            ("services", "healthPath", '"/a b"'),
            ("limits", "headerBytes", "-1"),
            ("limits", "maxBodyBytes", "-1"),
            ("limits", "headerTimeoutMs", "NaN"),
            ("limits", "idleTimeoutMs", "NaN"),
            ("limits", "idleTimeoutMs", "-1"),
        ],
    )
    def test_odd_value(self, section: str, field: str, value: str) -> None:
        """Guards against a value that only fails when it is used.

        A time that is not a number spoils the order of the timers of the event loop,
        which no later configuration mends.
        """
        document = make_configuration(1)
        tables = {
            "routes": document["routes"]["read"],
            "services": document["services"]["svc"],
            "limits": document["limits"],
        }
        tables[section][field] = "ODD"
        text = json.dumps(document).replace('"ODD"', value)
        with pytest.raises(ConfigurationError):
            decode_route_table(text)

    def test_upload(self) -> None:
        """Guards against uploads that are sent twice or refused as unknown."""
        document = make_configuration(1)
        document["routes"]["read"]["kind"] = "upload"
        table = decode_route_table(json.dumps(document))
        route = table.find("shop.example", "/read/")
        assert route is not None
        assert not route.is_idempotent
        assert not table.unknown_kinds

    def test_unknown_kind(self) -> None:
        """Guards against retries, and against an outage of the routes that are known.

        A route of a new kind once made every instance refuse the whole configuration.
        """
        document = make_configuration(1)
        document["routes"]["read"]["kind"] = "maybe"
        table = decode_route_table(json.dumps(document))
        route = table.find("shop.example", "/read/")
        assert route is not None
        assert not route.is_idempotent
        assert table.find("shop.example", "/orders/") is not None
        assert table.unknown_kinds == {"read": "maybe"}

    @pytest.mark.parametrize("kind", [None, 3, ["idempotent"]])
    def test_malformed_kind(self, kind: object) -> None:
        """Guards against a guess at a kind that is not even a name."""
        document = make_configuration(1)
        document["routes"]["read"]["kind"] = kind
        with pytest.raises(ConfigurationError):
            decode_route_table(json.dumps(document))


class TestDecodeTarget:
    """Decoding entries of targets."""

    def test_fields(self) -> None:
        """Guards against platform fields mapped to the wrong attributes."""
        entry = decode_target(
            "servers/i-1", json.dumps(make_target_entry(state="draining"))
        )
        assert (entry.name, entry.service, entry.data_centre) == ("i-1", "svc", "a")
        assert entry.is_draining
        assert (entry.slots, entry.warmup_ms, entry.started_unix_ms) == (2, 0.0, 5)

    @pytest.mark.parametrize(
        ("table", "field", "value"),
        [
            ("status", "state", "asleep"),
            ("status", "state", None),
            ("status", "warmupLeftMs", "soon"),
            ("info", "slots", "2"),
            ("info", "slots", True),
            ("info", "slots", -1),
            ("info", "slots", 10**9),
            ("info", "service", 4),
            ("info", "zone", None),
        ],
    )
    def test_other_writers(self, table: str, field: str, value: Any) -> None:
        """Guards against malformed entries of other programs used as targets."""
        document = make_target_entry()
        document[table][field] = value
        with pytest.raises(ConfigurationError):
            decode_target("servers/i-1", json.dumps(document))

    @pytest.mark.parametrize(
        "born",
        [
            -1,
            10**15,
            pytest.param(int("9" * 400), id="400 digits"),
            True,
            5.0,
            "5",
            None,
            [],
        ],
    )
    def test_start_time(self, born: Any) -> None:
        """Guards against a start time that is none in the keys of permits."""
        document = make_target_entry()
        with pytest.raises(ConfigurationError):
            decode_target("servers/i-1", json.dumps({**document, "born": born}))
        born = 1_893_456_000_123
        entry = decode_target("servers/i-1", json.dumps({**document, "born": born}))
        assert entry.started_unix_ms == born

    @pytest.mark.parametrize("text", ["", "7", "{}", '{"info":[],"status":{}}', "\x00"])
    def test_unreadable(self, text: str) -> None:
        """Guards against one unreadable entry stopping the decoding of the others."""
        with pytest.raises(ConfigurationError):
            decode_target("servers/i-1", text)
