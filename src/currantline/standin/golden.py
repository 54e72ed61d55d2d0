"""A short scripted session that is recorded as text for a golden-file test.

The text contains every outcome and audit event. After an intended change of
behaviour, regenerate the file with ``python -m currantline.standin.golden`` and review
its diff before committing it.
"""

import asyncio
from pathlib import Path

from absl import app

from currantline.audit import AuditEvent
from currantline.standin.network import run_on_host
from currantline.standin.site import CALLER_HOST, START_WALL_MS
from currantline.standin.trial import Trial, build_small_configuration, run_trial
from currantline.wire import Request, Response, fetch, find_header

__all__ = ["PATH", "record_session"]

PATH = Path(__file__).parents[1] / "tests" / "golden" / "session.txt"
SEED = 7
REPORTED_HEADERS = ("outcome", "reason", "instance", "target", "refresh")
TIMEOUT_MS = 5000.0
REQUEST_INTERVAL_S = 0.03


class SessionScript:
    """Runs the session and collects its lines.

    Parameters
    ----------
    trial : Trial
        The deployment.
    """

    def __init__(self, trial: Trial) -> None:
        self.lines: list[str] = []
        self._trial = trial
        self._numbers = iter(range(1, 1000))
        self._previous_on_end = trial.caller.on_end
        trial.caller.on_end = self._record_completion

    async def run(self) -> None:
        """Run the whole session."""
        await self._send_all("ready")
        await self._send_malformed()
        await self._leave()
        await self._kill()
        await self._drain()
        await self._patch()
        await self._send_all("end")

    async def _leave(self) -> None:
        self._write_line("instance-0 leaves")
        leaving = asyncio.create_task(self._trial.site.leave("instance-0"))
        await self._send_all("while it leaves")
        await leaving
        await self._trial.restart("instance-0")
        await self._wait_until_settled()

    async def _kill(self) -> None:
        owner = self._trial.find_owner("ordering")
        self._write_line(
            f"{owner}, which owns targets of ordering, is killed and replaced"
        )
        with self._trial.record_fault("kill", allows_unknown=True):
            self._trial.site.kill(owner)
            await self._send_all("after the kill")
            await self._trial.restart(owner)
        await self._wait_until_settled()

    async def _drain(self) -> None:
        self._write_line("ordering-1 drains")
        drain = self._trial.drain("ordering-1")
        await self._send_all("at the start of the drain")
        await asyncio.sleep(3.5)
        await self._send_all("3.5 s later")
        self._trial.end_drain(drain)

    async def _patch(self) -> None:
        self._write_line("two patches against version 1")
        self._trial.publish_patch()
        self._trial.publish_patch(base_version=1)
        await self._wait_until_settled()
        await self._send_all("after the patches")

    async def _wait_until_settled(self) -> None:
        await self._trial.wait_until_ready()
        await asyncio.sleep(4.0)

    async def _send_all(self, title: str) -> None:
        self._write_line(title)
        requests = [
            ("ordering", "GET", "/item"),
            ("ordering", "POST", "/orders"),
            ("archive", "GET", "/item"),
            ("archive", "GET", "/long"),
            ("ordering", "GET", "/long"),
            ("ordering", "POST", "/orders"),
            ("ordering", "DELETE", "/item"),
        ]
        sends = []
        for service, method, path in requests:
            number = next(self._numbers)
            send = self._trial.caller.send(
                service, method, f"{path}/{number}", f"{service}-{number}"
            )
            sends.append(run_on_host(CALLER_HOST, send))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await asyncio.gather(*sends)

    async def _send_malformed(self) -> None:
        self._write_line("malformed requests")
        settings = self._trial.site.settings["instance-1"]
        cases: list[tuple[str, str, tuple[str, str]]] = [
            ("GET", "/nowhere", ("x-none", "1")),
            ("GET", "/services/nowhere/item", ("x-none", "1")),
            ("GET", "/services/ordering/item", ("currantline-timeout-ms", "soon")),
            ("GET", "/services/ordering/item", ("currantline-timeout-ms", "0")),
            ("GET", "/services/ordering/item", ("currantline-request-id", "a b")),
            ("GET", "/v1/addresses/nowhere", ("x-none", "1")),
            ("GET", "/v1/addresses/ordering", ("x-none", "1")),
        ]
        for method, target, header in cases:
            request = Request(method=method, target=target, headers=(header,))
            response = await run_on_host(
                CALLER_HOST,
                fetch(settings.caller_address, request, timeout_ms=TIMEOUT_MS),
            )
            self._record_response(request, response)

    def _record_completion(
        self, request: Request, outcome: str, response: Response | None
    ) -> None:
        self._previous_on_end(request, outcome, response)
        if response is None:
            self._write_line(
                f"  {request.method} {request.target}: {outcome}, no answer"
            )
        else:
            self._record_response(request, response)

    def _record_response(self, request: Request, response: Response) -> None:
        found = {
            name: find_header(response.headers, f"currantline-{name}")
            for name in REPORTED_HEADERS
        }
        fields = " ".join(f"{name}={value}" for name, value in found.items() if value)
        body = response.body.decode().strip()
        status_line = f"  {request.method} {request.target}: {response.status}"
        self._write_line(f"{status_line} {fields} body={body!r}")

    def _write_line(self, text: str) -> None:
        self.lines.append(f"{self._trial.now:9.1f} {text}")


def record_session() -> str:
    """Run the session and return its text."""
    lines: list[str] = []

    async def scenario(trial: Trial) -> None:
        script = SessionScript(trial)
        await script.run()
        lines.extend(script.lines)
        for process, instance in trial.site.instances_by_process.items():
            lines.append(f"audit of {process}")
            lines.extend(_render(event) for event in instance.trail.events_after(0))

    configuration = build_small_configuration(targets=2)
    journal = run_trial(scenario, seed=SEED, count=3, configuration=configuration)
    lines.extend(f"broken: {line}" for line in journal.find_violations())
    return "\n".join([*lines, ""])


def _render(event: AuditEvent) -> str:
    when_ms = event.when_ms - START_WALL_MS
    parts = [
        f"{when_ms:9.1f}  {event.kind.value}",
        f"{event.author} {event.sequence} {event.verdict} {event.reason}".strip(),
        f"{event.from_version}->{event.to_version}" if event.sequence else "",
        event.detail,
    ]
    return " ".join(part for part in parts if part and part != "0")


def main(_: list[str]) -> None:
    """Regenerate the golden file."""
    PATH.parent.mkdir(exist_ok=True)
    PATH.write_text(record_session(), encoding="utf-8")
    print(f"{PATH.name}: {len(PATH.read_text(encoding='utf-8').splitlines())} lines")


if __name__ == "__main__":
    app.run(main)
