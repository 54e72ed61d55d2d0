"""Tests of the command ``check-gateway``."""

import io
import json
import sys
from pathlib import Path

import pytest

from currantline.cli import main, run
from currantline.platform.samples import make_configuration


class TestCheckGateway:
    """Calls by an operator."""

    @pytest.mark.parametrize(
        ("text", "version_in_force", "code", "shown"),
        [
            (None, None, 0, "services.two"),
            (None, 4, 0, '"00000004"'),
            (None, 5, 1, "00000005 is not above 00000005"),
            ("[", None, 1, "not JSON"),
            ('{"version": "00000006", "x": NaN}', 5, 1, "NaN"),
            ('{"version": "00000006", "\\ud800\\n": 1}', 5, 1, "\\ud800\\n"),
        ],
    )
    def test_exit_codes(
        self,
        text: str | None,
        version_in_force: int | None,
        code: int,
        shown: str,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """Guards against a script that sends a configuration with errors."""
        path, old = tmp_path / "new.json", tmp_path / "old.json"
        path.write_text(text or json.dumps(make_configuration(5)))
        words = ["currantline", "check-gateway", str(path)]
        if version_in_force is not None:
            old.write_text(json.dumps(make_configuration(version_in_force)))
            words.append(f"--in-force={old}")
        assert main([*words, "--output=text"]) == code
        assert shown in capsys.readouterr().out
        assert main([*words, "--output=json"]) == code
        printed = json.loads(capsys.readouterr().out, parse_constant=pytest.fail)
        assert printed["result"] == ("errors_found" if code else "ok")

    def test_unreadable(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against a missing file that passes for one with errors."""
        path = tmp_path / "new.json"
        path.write_text(json.dumps(make_configuration(5)))
        missing = f"{tmp_path}/none.json"
        calls = ([missing], [str(tmp_path)], ["\0"], [str(path), "--in-force", missing])
        for arguments in calls:
            assert main(["currantline", "check-gateway", *arguments]) == 2
            assert "cannot be read" in capsys.readouterr().err

    def test_terminal_encoding(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a stack trace for a name that the terminal cannot show."""
        document = make_configuration(5)
        document["services"]["caf\u00e9"] = {}
        path = tmp_path / "new.json"
        path.write_text(json.dumps(document))
        printed = io.BytesIO()
        monkeypatch.setattr(sys, "stdout", io.TextIOWrapper(printed, "ascii"))
        monkeypatch.setattr(sys, "argv", ["currantline", "check-gateway", str(path)])
        with pytest.raises(SystemExit):
            run()
        sys.stdout.flush()
        assert b"services.caf\\xe9" in printed.getvalue()
