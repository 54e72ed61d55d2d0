"""Targets leave while some instances are restarted; nobody may use them afterwards."""

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

# Two instances in each of two data centres. In each data centre the instance with the
# lowest address reads the store.
INSTANCES = 4
KILLED = 2

# First part: times of the kills after the start of traffic, and how much later a target
# leaves. It serves for some time after its entry was removed, before it exits.
KILLS_S = (4.0, 14.0, 24.0)
REMOVAL_DELAY_S = 0.05
SERVES_S = 9.0

# Second part: the last instance is stopped for some seconds. Meanwhile a target leaves,
# and all other instances are killed.
STOP_S, REMOVE_S, KILL_S, CONTINUE_S, EXIT_S = 34.0, 35.0, 36.5, 39.0, 48.0

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


def is_in_touch(disturbances: list[tuple[float, float]], when_s: float) -> bool:
    """Return whether an instance was long enough without disturbance at a time."""
    return all(not begin <= when_s < end + STABLE_S for begin, end in disturbances)


def judge(
    deployment: Deployment,
    left_s: dict[Target, float],
    stops_s: list[tuple[float, float]],
    sent: dict[str, str],
    record: Record,
) -> bool:
    """Return whether the rule was broken."""
    disturbances = {
        i.host: list(zip([0.0, *i.ends], i.starts, strict=False))
        for i in deployment.instances
    }
    disturbances[deployment.instances[-1].host] += stops_s
    is_broken = False
    for target, acknowledged_s in left_s.items():
        late: list[float] = []
        for attempt_id, run_s in target.runs:
            host = sent.get(attempt_id)
            if host is None or run_s <= acknowledged_s + DRAIN_S:
                continue
            if is_in_touch(disturbances[host], run_s):
                late.append(run_s - acknowledged_s)
                record.write("ran late", attempt_id, target.name, "from", host)
        record.write(
            f"{len(late)} requests reached {target.name} more than {DRAIN_S} s after"
            " the removal of its entry, from instances in touch; the last one"
            f" {max(late, default=0.0):.1f} s after it",
            shown=True,
        )
        is_broken = is_broken or bool(late)
    return is_broken


async def wait_until(record: Record, when_s: float) -> None:
    """Wait until a time of the record."""
    await asyncio.sleep(max(0.0, when_s - record.read_clock()))


async def kill_some(
    deployment: Deployment, left_s: dict[Target, float], record: Record, start_s: float
) -> None:
    """Play the first part."""
    for kill_s, target in zip(KILLS_S, deployment.targets, strict=False):
        await wait_until(record, start_s + kill_s)
        if is_trouble_on():
            for instance in deployment.instances[:KILLED]:
                instance.send(signal.SIGKILL)
        await wait_until(record, start_s + kill_s + REMOVAL_DELAY_S)
        left_s[target] = remove(deployment, target, record)
        await wait_until(record, start_s + kill_s + SERVES_S)
        target.exit()
        record.write("target exits", target.name)


async def stop_one(
    deployment: Deployment, left_s: dict[Target, float], record: Record, start_s: float
) -> tuple[float, float]:
    """Play the second part and return the time for which an instance was stopped."""
    *others, last = deployment.instances
    target = deployment.targets[-1]
    await wait_until(record, start_s + STOP_S)
    stopped_s = record.read_clock()
    if is_trouble_on():
        last.send(signal.SIGSTOP)
    await wait_until(record, start_s + REMOVE_S)
    left_s[target] = remove(deployment, target, record)
    await wait_until(record, start_s + KILL_S)
    if is_trouble_on():
        for instance in others:
            instance.send(signal.SIGKILL)
    await wait_until(record, start_s + CONTINUE_S)
    last.send(signal.SIGCONT)
    continued_s = record.read_clock()
    await wait_until(record, start_s + EXIT_S)
    target.exit()
    record.write("target exits", target.name)
    return stopped_s, continued_s


def remove(deployment: Deployment, target: Target, record: Record) -> float:
    """Remove the entry of a target and return the time of the acknowledgement."""
    deployment.store.remove(f"servers/{target.name}")
    record.write("entry removed", target.name, shown=True)
    return record.read_clock()


async def run(record: Record) -> int:
    """Play the scenario and return the exit code."""
    rng = random.Random(1)
    sent: dict[str, str] = {}
    left_s: dict[Target, float] = {}
    async with open_deployment(record, instances=INSTANCES) as deployment:
        start_s = record.read_clock()
        tasks = [asyncio.ensure_future(i.supervise()) for i in deployment.instances]
        for instance in deployment.instances:
            for _ in range(CALLERS_PER_INSTANCE):
                caller = Caller(instance.front, record)
                tasks.append(asyncio.ensure_future(run_caller(caller, sent, rng)))
        await kill_some(deployment, left_s, record, start_s)
        stops_s = [await stop_one(deployment, left_s, record, start_s)]
    if not all(target.runs for target in left_s):
        return NOT_RUN
    is_broken = judge(deployment, left_s, stops_s, sent, record)
    return BROKEN if is_broken else HELD


if __name__ == "__main__":
    sys.exit(play(run, Path(__file__).parent))
