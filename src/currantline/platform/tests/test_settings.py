"""Tests of the platform's settings file."""

from pathlib import Path
from typing import Any

import pytest

from currantline.exceptions import SettingsError
from currantline.placement import WarmupTerms
from currantline.platform import decode_settings, read_settings
from currantline.platform.samples import make_settings, make_warmup_bounds


def make_document() -> dict[str, Any]:
    """Return valid settings."""
    return make_settings("10.1.0.1", "b", seeds=("10.1.0.2",), data_centres=("b", "a"))


class TestDecodeSettings:
    """Decoding the settings of an instance."""

    def test_fields(self) -> None:
        """Guards against platform fields mapped to the wrong settings."""
        settings = decode_settings(make_document(), source="file")
        assert settings.data_centres == ("a", "b")
        assert settings.seed_hosts == ("10.1.0.2",)
        assert settings.peer_port == 7620
        assert settings.grace_ms == 6000.0
        assert settings.retry_options.window_ms == 10_000.0

    def test_warmup(self) -> None:
        """Guards against a bound on cold targets from a part of the settings."""
        document = make_document()
        bounds = document["terms"]["bounds"]
        bounds["warmupSlack"] = 8
        assert decode_settings(document, source="file").warmup_terms is None
        bounds |= make_warmup_bounds(1.5, 8)
        terms = decode_settings(document, source="file").warmup_terms
        assert terms == WarmupTerms(overrun=1.5, slack=8.0)

    def test_speeds(self) -> None:
        """Guards against a machine whose size is taken for that of another."""
        document = make_document()
        limits = {"memoryMb": 200, "cpuShare": 0.5, "cpuCores": 3, "linkMbps": 5.0}
        document["selfNode"]["limits"] = limits
        settings = decode_settings(document, source="file")
        assert (settings.cores, settings.link_bytes_per_s) == (1.5, 625_000.0)

    def test_missing(self) -> None:
        """Guards against an error that does not name the missing key."""
        document = make_document()
        del document["network"]["listen"]["front"]
        with pytest.raises(SettingsError, match="front"):
            decode_settings(document, source="file")

    def test_not_an_address(self) -> None:
        """Guards against an invalid address that is only detected when it is used."""
        document = make_document()
        document["platform"]["platform"]["address"] = "store"
        with pytest.raises(SettingsError):
            decode_settings(document, source="file")

    @pytest.mark.parametrize(
        "seed",
        [
            "10.1.0.3",
            "seed.example:8649",
            "10.1.0.3:99999",
            "\0:8649",
            ":8649",
            5,
            [],
            {},
        ],
    )
    def test_odd_seed(self, seed: object) -> None:
        """Guards against a seed that blocks or ends the exchange with instances.

        A host that the socket does not accept closes it for good, and the resolution of
        a name blocks the event loop.
        """
        document = make_document()
        document["network"]["seeds"] = [seed, "10.1.0.2:8649"]
        settings = decode_settings(document, source="file")
        assert settings.seed_hosts == ("10.1.0.2",)
        assert settings.refused_seeds == (str(seed),)

    @pytest.mark.parametrize("seeds", ["10.1.0.2:8649", 5, {"a": 1}])
    def test_odd_seeds(self, seeds: object) -> None:
        """Guards against seeds of another type that are taken for a list."""
        document = make_document()
        document["network"]["seeds"] = seeds
        with pytest.raises(SettingsError):
            decode_settings(document, source="file")

    @pytest.mark.parametrize(
        ("section", "key", "value"),
        [
            ("selfNode", "ip", "edge-1"),
            ("selfNode", "ip", "\0"),
            ("selfNode", "limits", {"memoryMb": 0}),
            ("selfNode", "limits", {"memoryMb": 300, "cpuShare": 0}),
            ("selfNode", "limits", {"memoryMb": 300, "linkMbps": "fast"}),
            ("network", "internalPortRange", [float("inf")]),
            ("network", "internalPortRange", [0]),
            ("network", "internalPortRange", [65_535]),
            ("bounds", "graceS", float("nan")),
            ("bounds", "graceS", -1),
            ("bounds", "stableMs", float("inf")),
            ("bounds", "budgetWindowS", -1),
            ("bounds", "retryBudgetRatio", float("nan")),
            ("bounds", "ttl_max_s", 10**400),
            ("bounds", "probesPerS", float("inf")),
            ("bounds", "warmupSlack", -1),
            ("bounds", "warmupOverrun", "much"),
        ],
    )
    def test_odd_number(self, section: str, key: str, value: object) -> None:
        """Guards against values that only fail when they are used."""
        document = make_document()
        tables = {**document, "bounds": document["terms"]["bounds"]}
        tables[section][key] = value
        if key.startswith("warmup"):
            tables["bounds"] |= {**make_warmup_bounds(1.5, 8), key: value}
        with pytest.raises(SettingsError):
            decode_settings(document, source="file")


class TestReadSettings:
    """Reading the settings file."""

    @pytest.mark.parametrize(
        "content", [None, b"a = ", b"\xff", b"a = " + 20_000 * b"["]
    )
    def test_unreadable(self, tmp_path: Path, content: bytes | None) -> None:
        """Guards against a traceback instead of a one-line error."""
        path = tmp_path / "node.toml"
        if content is not None:
            path.write_bytes(content)
        with pytest.raises(SettingsError, match=r"node\.toml"):
            read_settings(str(path))

    def test_odd_path(self) -> None:
        """Guards against a traceback for a path that no file can have."""
        with pytest.raises(SettingsError):
            read_settings("a\0b")
