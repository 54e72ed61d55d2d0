"""Some answers of targets go on without end; other callers must still get answers."""

import asyncio
import random
import sys
from pathlib import Path

from standins.caller import Call, Caller
from standins.deployment import ROUTES, open_deployment
from standins.messages import Message
from standins.record import Record
from standins.script import BROKEN, HELD, NOT_RUN, is_trouble_on, play

CALLERS_PER_INSTANCE = 10
TRAFFIC_S = 40.0
PAUSE_S = (0.2, 0.4)
DEADLINE_S = 4.0

# Share of the targets that spoil answers, and of their answers that they spoil: the
# defaults that the users name for wrong bytes.
TARGET_SHARE = 0.5
ANSWER_SHARE = 0.02

# A body without end, in chunks of two bytes. A target gives up after a time if the
# instance doesn't close the connection.
CHUNKS = b"2\r\nxy\r\n" * 8000
MAX_FLOOD_S = 15.0

# The rule: a request that is unanswered at the timeout of its route has its final
# answer this much later; it is broken by eight or more, and more than half of them.
GRACE_S = 0.5
MIN_REQUESTS = 8

# The stand-ins themselves must not hold up answers.
LAG_POLL_S = 0.05
MAX_LAG_S = 0.25


class Spoiler:
    """Continues the body of some answers until the caller closes."""

    def __init__(self, record: Record, rng: random.Random) -> None:
        self._record = record
        self._rng = rng
        self.paths: set[str] = set()

    async def spoil(
        self, request: Message, data: bytes, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Return the answer, or write one without end in its place."""
        if self._rng.random() >= ANSWER_SHARE:
            return data
        path = request.start[1]
        self.paths.add(path)
        self._record.write("body without end begins", path)
        head = data.partition(b"\r\nContent-Length")[0]
        writer.write(head + b"\r\nTransfer-Encoding: chunked\r\n\r\n")
        try:
            async with asyncio.timeout(MAX_FLOOD_S):
                while True:
                    writer.write(CHUNKS)
                    await writer.drain()
                    await asyncio.sleep(0)
        except (ConnectionError, TimeoutError):
            return None
        finally:
            self._record.write("body without end is cut", path)


async def run_caller(caller: Caller, calls: list[Call], rng: random.Random) -> None:
    """Send one request after the other until cancelled."""
    while True:
        route, method = rng.choice((("lookup", "GET"), ("order", "POST")))
        call = await caller.call(route, method=method, deadline_s=DEADLINE_S)
        if call is not None:
            calls.append(call)
        await asyncio.sleep(rng.uniform(*PAUSE_S))


async def watch_lag(lags: list[float]) -> None:
    """Collect how late the stand-ins' own timers are, until cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        due_s = loop.time() + LAG_POLL_S
        await asyncio.sleep(LAG_POLL_S)
        lags.append(loop.time() - due_s)


def judge(calls: list[Call], spoiler: Spoiler, record: Record) -> bool:
    """Return whether the rule was broken."""
    unanswered, late, late_others = 0, 0, 0
    for call in calls:
        timeout_s = ROUTES[call.route]["timeoutMs"] / 1000
        took_s = (call.ended_s or float("inf")) - call.sent_s
        is_spoiled = f"/{call.route}/{call.attempt_id}" in spoiler.paths
        unanswered += took_s > timeout_s
        late += took_s > timeout_s + GRACE_S
        late_others += took_s > timeout_s + GRACE_S and not is_spoiled
    record.write(
        f"{len(calls)} requests, {unanswered} unanswered at the timeout of their route,"
        f" {late} of them {GRACE_S} s later, {late_others} of these with targets that"
        " answered them properly",
        shown=True,
    )
    return late >= MIN_REQUESTS and late > unanswered / 2


async def run(record: Record) -> int:
    """Play the scenario and return the exit code."""
    rng = random.Random(1)
    calls: list[Call] = []
    lags: list[float] = []
    async with open_deployment(record) as deployment:
        spoiler = Spoiler(record, rng)
        if is_trouble_on():
            for target in deployment.targets[:: round(1 / TARGET_SHARE)]:
                target.spoil = spoiler.spoil
        tasks = [
            asyncio.ensure_future(
                run_caller(Caller(instance.front, record), calls, rng)
            )
            for instance in deployment.instances
            for _ in range(CALLERS_PER_INSTANCE)
        ]
        tasks.append(asyncio.ensure_future(watch_lag(lags)))
        await asyncio.wait(tasks, timeout=TRAFFIC_S)
    served = sum(1 for call in calls if call.status == 200)
    record.write(
        f"{served} served, {len(spoiler.paths)} answers without end,"
        f" stand-ins at most {max(lags):.3f} s late",
        shown=True,
    )
    if not served or max(lags) > MAX_LAG_S:
        return NOT_RUN
    if is_trouble_on() and not spoiler.paths:
        return NOT_RUN
    return BROKEN if judge(calls, spoiler, record) else HELD


if __name__ == "__main__":
    sys.exit(play(run, Path(__file__).parent))
