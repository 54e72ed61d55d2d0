"""Tests of the platform's settings file."""

from pathlib import Path
from typing import Any

import pytest

from currantline.exceptions import SettingsError
from currantline.platform import decode_settings, read_settings
from currantline.platform.samples import make_settings


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


class TestReadSettings:
    """Reading the settings file."""

    @pytest.mark.parametrize("content", [None, b"a = ", b"\xff"])
    def test_unreadable(self, tmp_path: Path, content: bytes | None) -> None:
        """Guards against a traceback instead of a one-line error."""
        path = tmp_path / "node.toml"
        if content is not None:
            path.write_bytes(content)
        with pytest.raises(SettingsError, match=r"node\.toml"):
            read_settings(str(path))
