"""Tests of daemon settings."""

from pathlib import Path

import pytest
import yaml

from currantline.exceptions import SettingsError
from currantline.settings import read_settings

VALID = {
    "name": "instance-0",
    "data_centre": "north",
    "caller_address": "127.0.0.1:7100",
    "peer_address": "127.0.0.1:7200",
    "operator_address": "127.0.0.1:7300",
    "platform_address": "127.0.0.1:7900",
}


def write(path: Path, changes: dict[str, object]) -> str:
    """Write settings with changed values and return the path as a string."""
    path.write_text(yaml.safe_dump({**VALID, **changes}))
    return str(path)


class TestReadSettings:
    """Parsing and validation of a settings file."""

    def test_valid(self, tmp_path: Path) -> None:
        """Guards against a minimal settings file that is rejected."""
        settings = read_settings(write(tmp_path / "a.yaml", {}))
        assert settings.data_centre == "north"
        assert settings.seeds == ()

    @pytest.mark.parametrize(
        ("changes", "key"),
        [
            ({"nmae": "x"}, "nmae"),
            ({"name": 3}, "name"),
            ({"caller_address": "localhost:1"}, "caller_address"),
            ({"seeds": [{"name": "a", "peer_address": "1"}]}, "seeds.0.peer_address"),
        ],
    )
    def test_failure_is_one_line(
        self, tmp_path: Path, changes: dict[str, object], key: str
    ) -> None:
        """Guards against an error message that does not name the file and the key."""
        path = write(tmp_path / "a.yaml", changes)
        with pytest.raises(SettingsError) as caught:
            read_settings(path)
        assert str(caught.value).startswith(f"{path}: {key}: ")
        assert "\n" not in str(caught.value)

    @pytest.mark.parametrize("text", ["[1, 2]", "a: [", "\x00"])
    def test_not_a_mapping(self, tmp_path: Path, text: str) -> None:
        """Guards against a traceback for a file that is not a YAML mapping."""
        path = tmp_path / "a.yaml"
        path.write_text(text)
        with pytest.raises(SettingsError):
            read_settings(str(path))
