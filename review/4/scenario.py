"""A target leaves while one instance stands still and the others are restarted."""

import asyncio
import random
import signal
import sys
from pathlib import Path

from standins.caller import Caller
from standins.deployment import Deployment, open_deployment
from standins.record import Record
from standins.script import BROKEN, HELD, NOT_RUN, is_trouble_on, play
from standins.target import Target

CALLERS_PER_INSTANCE = 5
PAUSE_S = (0.1, 0.3)
DEADLINE_S = 4.0

# The instance with the highest address reads the store only if its neighbour can't.
INSTANCES = 4

# Times after the start of traffic.
STOP_S, REMOVE_S, KILL_S, CONTINUE_S, END_S = 4.0, 5.0, 6.5, 9.0, 24.0

# The rule: a request reaches a target later than this after its leaving was
# acknowledged, from an instance that was without disruption for the second time.
DRAIN_S = 2.0
STABLE_S = 3.0


async def run_caller(caller: Caller, sent: dict[str, str], rng: random.Random) -> None:
    """Send one request after the other until cancelled."""
    while True:
        route, method = rng.choice((("lookup", "GET"), ("order", "POST")))
        call = await caller.call(route, method=method, deadline_s=DEADLINE_S)
        if call is not None:
            sent[call.attempt_id] = call.instance
        await asyncio.sleep(rng.uniform(*PAUSE_S))


def judge(
    leaving: Target,
    acknowledged_s: float,
    disturbed_s: dict[str, float],
    sent: dict[str, str],
    record: Record,
) -> bool:
    """Return whether the rule was broken."""
    late: list[tuple[str, float]] = []
    for attempt_id, run_s in leaving.runs:
        host = sent.get(attempt_id)
        if host is None or run_s <= acknowledged_s + DRAIN_S:
            continue
        if run_s > disturbed_s.get(host, 0.0) + STABLE_S:
            late.append((attempt_id, run_s - acknowledged_s))
            record.write("ran late", attempt_id, "from", host, f"{run_s:.3f}")
    record.write(
        f"{len(late)} requests reached {leaving.name} more than {DRAIN_S} s after the"
        " removal of its entry, from instances in touch; the last one"
        f" {max((after for _, after in late), default=0.0):.1f} s after it",
        shown=True,
    )
    return bool(late)


async def wait_until(record: Record, when_s: float) -> None:
    """Wait until a time of the record."""
    await asyncio.sleep(max(0.0, when_s - record.read_clock()))


async def disturb(deployment: Deployment, record: Record, start_s: float) -> None:
    """Let the last instance stand still; meanwhile restart all others at once."""
    *others, last = deployment.instances
    await wait_until(record, start_s + STOP_S)
    last.send(signal.SIGSTOP)
    await wait_until(record, start_s + KILL_S)
    for instance in others:
        instance.send(signal.SIGKILL)
    await wait_until(record, start_s + CONTINUE_S)
    last.send(signal.SIGCONT)


async def run(record: Record) -> int:
    """Play the scenario and return the exit code."""
    rng = random.Random(1)
    sent: dict[str, str] = {}
    async with open_deployment(record, instances=INSTANCES) as deployment:
        start_s = record.read_clock()
        tasks = [asyncio.ensure_future(i.supervise()) for i in deployment.instances]
        for instance in deployment.instances:
            for _ in range(CALLERS_PER_INSTANCE):
                caller = Caller(instance.front, record)
                tasks.append(asyncio.ensure_future(run_caller(caller, sent, rng)))
        if is_trouble_on():
            disturbing = disturb(deployment, record, start_s)
            tasks.append(asyncio.ensure_future(disturbing))
        await wait_until(record, start_s + REMOVE_S)
        leaving = deployment.targets[0]
        has_run = bool(leaving.runs)
        deployment.store.remove(f"servers/{leaving.name}")
        acknowledged_s = record.read_clock()
        record.write("entry removed", leaving.name, shown=True)
        await wait_until(record, start_s + END_S)
        *others, last = deployment.instances
        disturbed_s = {instance.host: instance.starts[-1] for instance in others}
        disturbed_s[last.host] = start_s + CONTINUE_S
    if not has_run:
        return NOT_RUN
    return BROKEN if judge(leaving, acknowledged_s, disturbed_s, sent, record) else HELD


if __name__ == "__main__":
    sys.exit(play(run, Path(__file__).parent))
