"""Stand-in for targets: slots, sheds, drain, cold start and faults.

One process hosts many targets, one per address.
"""

import asyncio
import contextlib
import json
import random
from collections import Counter
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import attrs
from absl import app, flags
from eliot import log_message

from currantline.configuration import Target, parse_configuration
from currantline.wire import (
    Answer,
    HttpService,
    Request,
    answer_json,
    find_header,
)

__all__ = ["StandinTarget"]

SHORT_MS = 8.0
LONG_FACTOR = 25.0

# A target keeps a backlog of as many requests as it has slots; more are shed.
BACKLOG_PER_SLOT = 1


@attrs.define
class Behaviour:
    """Faults that are switched on.

    Parameters
    ----------
    state : str
        ``starting``, ``ready`` or ``draining``.
    slow_factor : float
        Factor on service times.
    rejects : bool
        Whether every request is shed at once.
    is_silent : bool
        Whether requests are read and never answered.
    """

    state: str = "ready"
    slow_factor: float = 1.0
    rejects: bool = False
    is_silent: bool = False


class StandinTarget:
    """One target.

    Parameters
    ----------
    target : Target
        Name, address and slots.
    rng : random.Random
        Source of service times.
    """

    def __init__(self, target: Target, rng: random.Random) -> None:
        self.target = target
        self.behaviour = Behaviour()
        self.seen: Counter[str] = Counter()
        self.service = HttpService(self.handle)
        self._rng = rng
        self._slots = asyncio.Semaphore(target.slots)
        self._present = 0

    async def handle(self, request: Request) -> Answer:
        """Answer one request."""
        path = urlsplit(request.target).path
        if path == "/health":
            return self._answer(200, b"")
        if path == "/standin/seen":
            return answer_json(dict(self.seen))
        if path == "/standin/behaviour":
            self.behaviour = Behaviour(**json.loads(request.body))
            return answer_json({})
        return await self._work(request, path)

    async def _work(self, request: Request, path: str) -> Answer:
        request_id = find_header(request.headers, "currantline-request-id") or ""
        self.seen[request_id] += 1
        log_message(
            "target:request", request_id=request_id, target=self.target.name, path=path
        )
        limit = self.target.slots * (1 + BACKLOG_PER_SLOT)
        if self.behaviour.rejects or self._present >= limit:
            return self._answer(503, b"", ("target-shed", "1"))
        self._present += 1
        try:
            if self.behaviour.is_silent:
                await asyncio.Event().wait()
            async with self._slots:
                await asyncio.sleep(self._draw(path) / 1000)
        finally:
            self._present -= 1
        return self._answer(200, f"{request_id} {path}".encode())

    def _draw(self, path: str) -> float:
        mean = SHORT_MS * (LONG_FACTOR if path.startswith("/long") else 1.0)
        return self._rng.expovariate(1 / mean) * self.behaviour.slow_factor

    def _answer(self, status: int, body: bytes, *headers: tuple[str, str]) -> Answer:
        load = (
            f"in-flight={self._present}, slots={self.target.slots},"
            f" state={self.behaviour.state}"
        )
        return Answer(
            status=status, headers=(("target-load", load), *headers), body=body
        )


async def serve(path: str, seed: int) -> None:
    """Serve all targets of a configuration until the process is ended."""
    configuration = parse_configuration(
        Path(path).read_text(encoding="utf-8"), source=path
    )
    targets: list[Any] = []
    for service in configuration.services.values():
        for target in service.targets:
            rng = random.Random(f"{seed} {target.name}")
            standin = StandinTarget(target, rng)
            await standin.service.start(target.address)
            targets.append(standin)
    await asyncio.Event().wait()


def main(_: list[str]) -> None:
    """Run the stand-in as a process."""
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(flags.FLAGS.configuration, flags.FLAGS.seed))


if __name__ == "__main__":
    flags.DEFINE_string(
        "configuration", None, "Configuration that names the targets.", required=True
    )
    flags.DEFINE_integer("seed", 1, "Seed of the service times.")
    app.run(main)
