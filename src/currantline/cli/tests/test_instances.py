"""Tests of the commands that query instances and read logs."""

import asyncio
import io
import json
import sys
from pathlib import Path
from typing import Any

import pytest

from currantline.cli import main
from currantline.cli._instances import InstanceResponse
from currantline.cli._wait import measure_progress, wait_for_version
from currantline.clock import ManualClock
from currantline.wire import HttpServer, Request, Response, json_response

# Nothing listens on this port of loopback.
UNREACHABLE = "127.0.0.1:1"
EVENT = {
    "kind": "patch",
    "when_ms": 1_700_000_000_000.0,
    "author": "ann",
    "from_version": 3,
    "to_version": 4,
    "verdict": "accepted",
    "sequence": 2,
    "number": 5,
}


def make_status(name: str, version: int, **others: int) -> dict[str, Any]:
    """Return the status of an instance with other instances in its view."""
    return {
        "instance": name,
        "ready": version > 0,
        "reason": "" if version else "no configuration yet",
        "version": version,
        "sequence": version,
        "queues": {"ordering": {"short_waiting": 4, "running": 2}},
        "targets": [{"target": "t0", "state": "ready", "evidence_age_ms": 12.0}],
        "view": [{"name": key, "version": has} for key, has in others.items()],
        "lease": {"held": True},
    }


async def run(answers: list[dict[str, Any]], *words: str) -> int:
    """Run a command against instances with fixed responses by path."""
    services = [HttpServer(make_handler(answer)) for answer in answers]
    for service in services:
        await service.start("127.0.0.1:0")
    addresses = ",".join(service.address for service in services)
    try:
        argv = ["currantline", *words, f"--instances={addresses}"]
        return await asyncio.to_thread(main, argv)
    finally:
        for service in services:
            await service.stop()


def make_handler(answers: dict[str, Any]) -> Any:
    """Return a handler with a fixed response per path."""

    async def handle(request: Request) -> Response:
        if request.target not in answers:
            return Response(status=404)
        answer = answers[request.target]
        if isinstance(answer, bytes):
            return Response(status=200, body=answer)
        return json_response(answer)

    return handle


class TestStatus:
    """The command ``status``."""

    def test_shows_each_part(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against output without reason, lease, queues or age of evidence."""
        answers = [{"/status": make_status("i1", 3)}, {"/status": make_status("i2", 0)}]
        assert asyncio.run(run(answers, "status")) == 0
        text = capsys.readouterr().out
        assert "no configuration yet" in text
        assert [line.split()[:3] for line in text.splitlines() if "t0" in line] == [
            ["i1", "t0", "-"],
            ["i2", "t0", "-"],
        ]
        for word in ("LEASE", "SHORT_WAITING", "EVIDENCE_AGE_MS"):
            assert word in text

    def test_one_service(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against targets of other services despite the flag for one service."""
        status = make_status("i1", 3)
        status["targets"][0]["service"] = "ordering"
        for service, shown in [("ordering", True), ("archive", False)]:
            words = ["status", f"--service={service}"]
            assert asyncio.run(run([{"/status": status}], *words)) == 0
            assert ("t0" in capsys.readouterr().out) is shown

    @pytest.mark.parametrize("body", [b"[]", b"no", b'{"queues": 3, "view": [2]}'])
    def test_odd_answer(self, body: bytes, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against a stack trace if another program listens at the address."""
        code = asyncio.run(run([{"/status": body}], "status"))
        assert code == (0 if body.startswith(b"{") else 6)
        assert capsys.readouterr().err.count("\n") == (code != 0)

    @pytest.mark.parametrize("command", ["status", "audit"])
    def test_unreachable(
        self, command: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against an unreachable instance missing from output or exit code."""
        argv = ["currantline", command, f"--instances={UNREACHABLE}", "--output=json"]
        assert main(argv) == 6
        printed = capsys.readouterr()
        assert UNREACHABLE in printed.out
        assert printed.err.startswith(f"currantline {command}: 1 of 1 unreachable")
        assert printed.err.count("\n") == 1

    @pytest.mark.parametrize(
        "words",
        [
            ["status"],
            ["status", "--instances=localhost:1"],
            ["status", "--instances=127.0.0.1:1", "--answer_s=0"],
            ["wait", "--instances=127.0.0.1:1"],
            ["wait", "--instances=127.0.0.1:1", "--version=x"],
            ["audit", "extra", "--instances=127.0.0.1:1"],
            ["explain"],
        ],
    )
    def test_bad_flags(
        self, words: list[str], capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against invalid arguments that are accepted or cause a stack trace."""
        assert main(["currantline", *words]) == 2
        assert capsys.readouterr().err.count("\n") == 1


class TestWait:
    """The command ``wait``."""

    @pytest.mark.parametrize(
        ("statuses", "code", "message"),
        [
            ([make_status("i1", 4, i1=4, i2=5)], 0, ""),
            ([make_status("i1", 4, i1=3, i2=3)], 7, "not in force on i2"),
            ([make_status("i1", 4, i2=3), make_status("i2", 4)], 0, ""),
            ([make_status("i1", 4), {}], 6, "not heard from 127.0.0.1:"),
        ],
    )
    def test_known_instances(
        self,
        statuses: list[dict[str, Any]],
        code: int,
        message: str,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """Guards against a version reported in force that an instance lacks."""
        answers = [{"/status": status} for status in statuses]
        words = ["wait", "--version=4", "--timeout_s=0"]
        assert asyncio.run(run(answers, *words)) == code
        assert message in capsys.readouterr().err

    def test_waits(self) -> None:
        """Guards against a wait that ends after the first poll or never."""
        clock = ManualClock()
        versions = iter(range(1, 10))

        async def read() -> list[InstanceResponse]:
            status = make_status("i1", next(versions))
            return [InstanceResponse(address="a", document=status)]

        async def sleep(duration_ms: float) -> None:
            clock.advance(duration_ms)

        for version, timeout_ms, last in [(3, 5000.0, 3), (99, 500.0, 7)]:
            progress = asyncio.run(
                wait_for_version(
                    read, version, timeout_ms=timeout_ms, clock=clock, sleep=sleep
                )
            )
            assert progress.versions == {"i1": last}

    def test_silent_later(self) -> None:
        """Guards against a failed instance counted by its version in other views."""
        names: dict[str, str] = {}
        both = [
            InstanceResponse(address="a", document=make_status("i1", 4, i2=4)),
            InstanceResponse(address="b", document=make_status("i2", 4)),
        ]
        assert measure_progress(both, names).is_complete(4)
        progress = measure_progress([both[0], InstanceResponse(address="b")], names)
        assert progress.unreachable == ("i2",)
        assert not progress.is_complete(4)


class TestAudit:
    """The command ``audit``."""

    def test_merges(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against a patch listed once per instance that evaluated it."""
        left = {"kind": "other", "when_ms": 1.0, "detail": "this instance leaves"}
        answers = [
            {"/health": {"instance": "i1"}, "/audit": {"events": [EVENT]}},
            {"/health": {"instance": "i2"}, "/audit": {"events": [EVENT, left]}},
        ]
        assert asyncio.run(run(answers, "audit", "--output=json")) == 0
        document = json.loads(capsys.readouterr().out)
        first, second = document["events"]
        assert (first["detail"], first["instances"]) == (left["detail"], ["i2"])
        assert (second["author"], second["instances"]) == ("ann", ["i1", "i2"])
        assert second["when"] == "2023-11-14T22:13:20.000Z"
        assert document["trails"][0]["missing"] == 4

    def test_odd_author(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against control characters in an author that forge output lines."""
        event = {**EVENT, "author": "ann\nPATCH\x1b[2J\ud800"}
        answers = [{"/health": {"instance": "i1"}, "/audit": {"events": [event]}}]
        assert asyncio.run(run(answers, "audit")) == 0
        printed = capsys.readouterr().out
        assert r"ann\nPATCH\x1b[2J\ud800" in printed

    @pytest.mark.parametrize("event", [{"when_ms": "x"}, {"sequence": True}])
    def test_wrong_event(
        self, event: dict[str, Any], capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against a stack trace for an event with values of wrong types."""
        answers = [{"/health": {"instance": "i1"}, "/audit": {"events": [event]}}]
        assert asyncio.run(run(answers, "audit")) == 3
        assert capsys.readouterr().err.count("\n") == 1


def make_action(task: str, *, start: float, **end: Any) -> list[dict[str, Any]]:
    """Return the records of a request that ended 8 ms after its start."""
    action = {"action_type": "currantline:request", "task_uuid": task}
    first = {
        **action,
        "action_status": "started",
        "task_level": [1],
        "timestamp": start,
        "request_id": "r1",
        "instance": f"instance-{task}",
        "service": "ordering",
    }
    last = {**action, "task_level": [2], "timestamp": start + 0.008, **end}
    return [first, last] if end else [first]


class TestExplain:
    """The command ``explain``."""

    def explain(
        self, paths: list[str], capsys: pytest.CaptureFixture[str]
    ) -> list[dict[str, Any]]:
        """Return the steps of the request r1."""
        words = ["currantline", "explain", "r1", *paths, "--output=json"]
        assert main(words) == 0
        steps: list[dict[str, Any]] = json.loads(capsys.readouterr().out)["steps"]
        return steps

    def test_order_and_ends(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against unordered steps and unfinished requests that are not shown."""
        answered = {"action_status": "succeeded", "outcome": "answered", "target": "t0"}
        cancelled = {
            "action_status": "failed",
            "exception": "asyncio.exceptions.CancelledError",
        }
        logs = [
            make_action("b", start=2.0, **answered),
            [*make_action("a", start=1.0, **cancelled), {"task_uuid": "x"}],
            make_action("c", start=3.0),
        ]
        paths = []
        for number, records in enumerate(logs):
            path = tmp_path / f"{number}.log"
            lines = [json.dumps(record) for record in records]
            path.write_text("\n".join([*lines, '{"task_uuid": "cut']))
            paths.append(str(path))
        steps = self.explain(paths, capsys)
        found = [(step["instance"], step["outcome"]) for step in steps]
        assert found == [
            ("instance-a", "abandoned"),
            ("instance-b", "answered"),
            ("instance-c", "no end"),
        ]
        assert [step["duration_ms"] for step in steps] == [8.0, 8.0, None]
        assert steps[1]["target"] == "t0"

    def test_lines_of_gateways(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against logs of the users' platform that are not parsed."""
        line = {"event": "request", "instance": "e1", "timestamp": 9.0}
        line |= {"request_id": "r1", "status": 502, "took_ms": 500.0, "reason": ""}
        line |= {"sends": [["t4", "unknown", 480.0, "was reset"]], "tried": ["t4"]}
        other = {"event": "health_check_failed", "instance": "e1", "timestamp": 9.0}
        path = tmp_path / "a.log"
        path.write_text("\n".join(map(json.dumps, [other, line])))
        (step,) = self.explain([str(path)], capsys)
        assert (step["outcome"], step["target"]) == ("502", "t4")
        assert (step["reason"], step["attempts"]) == ("was reset", 1)
        assert step["duration_ms"] == 500.0

    def test_one_record(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against an end record that is ordered by its end time."""
        path = tmp_path / "a.log"
        late = {"task_uuid": "a", "timestamp": 5.0, "instance": "i1"}
        late |= {"message_type": "currantline:request", "duration_ms": 4000.0}
        early = {"task_uuid": "b", "timestamp": 2.0, "instance": "i2"}
        records = [{**record, "request_id": "r1"} for record in (early, late)]
        path.write_text("\n".join(map(json.dumps, records)))
        steps = self.explain([str(path)], capsys)
        found = [(step["instance"], step["duration_ms"]) for step in steps]
        assert found == [("i1", 4000.0), ("i2", None)]

    def test_standard_input(
        self, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against end records lost because a pipe cannot be read twice."""
        records = make_action("a", start=1.0, action_status="succeeded", outcome="x")
        text = "\n".join(map(json.dumps, records)).encode()
        monkeypatch.setattr(sys, "stdin", io.TextIOWrapper(io.BytesIO(text)))
        assert [step["outcome"] for step in self.explain([], capsys)] == ["x"]

    @pytest.mark.parametrize(
        ("content", "code", "message"),
        [
            (None, 2, "cannot be read"),
            (b"\xff\x00 no log\n", 3, "not a log"),
            (b"", 8, "no record of request r1"),
            (b'{"task_uuid": "a", "request_id": "r2"}\n', 8, "no record of request r1"),
        ],
    )
    def test_bad_log(
        self,
        content: bytes | None,
        code: int,
        message: str,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """Guards against an invalid log reported as a request without records."""
        path = tmp_path / "a.log"
        if content is not None:
            path.write_bytes(content)
        assert main(["currantline", "explain", "r1", str(path)]) == code
        printed = capsys.readouterr().err
        assert message in printed
        assert printed.count("\n") == 1
