"""Tests of the command-line tool."""

import json
from pathlib import Path

import pytest

from currantline.cli import main

CONFIGURATION = """
version: 3
services:
  ordering:
    targets:
      - {name: a, address: "127.0.0.1:7000", data_centre: north, slots: 2}
"""
SETTINGS = """
name: i1
data_centre: north
caller_address: "127.0.0.1:1"
peer_address: "127.0.0.1:2"
operator_address: "127.0.0.1:3"
platform_address: "127.0.0.1:4"
"""
CHANGES = """
base_version: 3
author: ann
changes:
  - {set: services/ordering/timeout_ms, value: 250}
"""
REFUSED_LEVEL = "author: ann\nchanges: [{set: schema_level, value: 2}]"


class TestMain:
    """Calls of the tool by an operator."""

    @pytest.mark.parametrize(
        ("command", "texts", "code", "message"),
        [
            ("check", [CONFIGURATION], 0, ""),
            ("check", [SETTINGS], 0, ""),
            ("check", [SETTINGS + "seed: 1"], 3, "0.yaml: seed: unknown key"),
            ("check", [CONFIGURATION.replace("3", "x")], 3, "0.yaml: version: 'x'"),
            (
                "check",
                [CONFIGURATION + "version: 4"],
                3,
                "line 7: duplicate key 'version'",
            ),
            ("check", [CONFIGURATION.replace("3", "0")], 3, "the first version"),
            ("check", ["a: ["], 3, "not YAML"),
            ("check", ["version: 1\nschema_level: 2"], 3, "this release knows"),
            ("check", [], 2, "1 arguments are required (FILE), not 0"),
            ("chek", [], 2, "'chek' is not a command"),
            ("", [], 2, "a command is required"),
            ("diff", [CONFIGURATION, CONFIGURATION], 0, ""),
            ("patch", [CONFIGURATION, CHANGES], 0, ""),
            ("patch", [CONFIGURATION, CHANGES.replace("3", "2")], 4, "stale-base"),
            ("patch", [CONFIGURATION, CHANGES.replace("250", "0")], 3, "timeout_ms"),
            ("patch", [CONFIGURATION, CHANGES.replace("out_ms", "")], 5, "schema"),
            ("patch", [CONFIGURATION, CHANGES + "x: 1"], 3, "x: unknown key"),
            ("patch", [CONFIGURATION, "[{remove: services/ordering}]"], 2, "author"),
            ("patch", [CONFIGURATION, REFUSED_LEVEL], 5, "this release knows"),
        ],
    )
    def test_exit_codes(
        self,
        command: str,
        texts: list[str],
        code: int,
        message: str,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """Guards against wrong exit codes and unclear or multi-line error messages."""
        paths = [tmp_path / f"{number}.yaml" for number in range(len(texts))]
        for path, text in zip(paths, texts, strict=True):
            path.write_text(text)
        words = [word for word in (command, *map(str, paths)) if word]
        assert main(["currantline", *words]) == code
        printed = capsys.readouterr()
        assert message in printed.err
        assert printed.err.count("\n") == (code != 0)
        assert main(["currantline", *words, "--output=json"]) == code
        json.loads(capsys.readouterr().out)

    def test_diff_feeds_patch(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against output of ``diff`` that ``patch`` rejects."""
        old, new, changes = (tmp_path / name for name in ("old", "new", "changes"))
        old.write_text(CONFIGURATION)
        new.write_text(CONFIGURATION.replace("slots: 2", "slots: 4"))
        assert main(["currantline", "--output=json", "diff", str(old), str(new)]) == 0
        changes.write_text(capsys.readouterr().out)
        words = ["patch", str(old), str(changes), "--author=ann", "--output", "json"]
        assert main(["currantline", *words]) == 0
        document = json.loads(capsys.readouterr().out)
        assert (document["from_version"], document["to_version"]) == (3, 4)
        assert document["record"]["author"] == "ann"
        assert document["record"]["body"][0]["set"] == "services/ordering/targets/a"

    def test_help(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against a command, flag or exit code missing from the help."""
        assert main(["currantline", "--help"]) == 0
        text = capsys.readouterr().out
        for word in (
            *("check FILE", "check-gateway FILE", "--in-force", "1 errors_found"),
            *("diff OLD NEW", "patch BASE", "--author", "4 conf"),
        ):
            assert word in text

    def test_unknown_flag(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against a stack trace for a mistyped flag."""
        assert main(["currantline", "check", "--outptu=json"]) == 2
        assert capsys.readouterr().err.count("\n") == 1
