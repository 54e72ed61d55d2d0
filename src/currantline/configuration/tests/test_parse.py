"""Tests of parsing configurations."""

import pytest

from currantline.configuration import (
    build_configuration,
    parse_configuration,
    render_configuration,
)
from currantline.exceptions import ConfigurationError

TEXT = """
version: 3
services:
  ordering:
    targets:
      - {name: a, address: "127.0.0.1:7000", data_centre: north, slots: 2}
    routes:
      - {name: order, method: POST, path_prefix: /orders}
"""


class TestParseConfiguration:
    """Parsing of a configuration from text."""

    def test_round_trip(self) -> None:
        """Guards against a rendered configuration that parses to a different one."""
        first = parse_configuration(TEXT)
        assert build_configuration(render_configuration(first)) == first

    @pytest.mark.parametrize(
        ("old", "new", "path"),
        [
            ("slots: 2", "slots: 0", "services.ordering.targets.0.slots"),
            ("slots: 2", "slots: two", "services.ordering.targets.0.slots"),
            ("slots: 2", "slotz: 2", "services.ordering.targets.0.slotz"),
            ("127.0.0.1:7000", "host:7000", "services.ordering.targets.0.address"),
            ("version: 3", "version: -1", "version"),
            ("targets:", "name: other\n    targets:", "services.ordering.name"),
            (
                "targets:",
                "timeout_ms: .nan\n    targets:",
                "services.ordering.timeout_ms",
            ),
            (
                "targets:",
                "timeout_ms: .inf\n    targets:",
                "services.ordering.timeout_ms",
            ),
        ],
    )
    def test_failure_names_path(self, old: str, new: str, path: str) -> None:
        """Guards against errors that do not name the source and path of the value."""
        with pytest.raises(ConfigurationError) as caught:
            parse_configuration(TEXT.replace(old, new), source="file.yaml")
        assert caught.value.path == path
        assert caught.value.source == "file.yaml"

    def test_target_in_two_services(self) -> None:
        """Guards against two services that both count the slots of one target."""
        twice = TEXT + TEXT.partition("services:\n")[2].replace("ordering", "other")
        with pytest.raises(ConfigurationError, match="also in service"):
            parse_configuration(twice)
