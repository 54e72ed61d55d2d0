"""Fault injection into a whole deployment.

Each function injects one fault, waits and ends the fault.
"""

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from currantline.standin.site import CALLER_HOST
from currantline.standin.target import Behaviour
from currantline.standin.trial import Trial

__all__ = ["FAULTS", "Fault", "inject_fault"]

FREEZE_S = 5.0
SETTLE_S = 4.0
DOWN_S = 4.0
DRAIN_S = 7.0
# Long enough for a patch to take effect on one side of the partition only.
PARTITION_S = 8.0


async def kill_owner(trial: Trial) -> None:
    """Kill an instance that owns targets and restart it after some time."""
    with trial.reserve(trial.find_owner("ordering")) as name:
        trial.site.kill(name)
        await asyncio.sleep(DOWN_S)
        await trial.restart(name)
        await asyncio.sleep(SETTLE_S / 2)


async def kill_and_replace(trial: Trial) -> None:
    """Kill an instance and restart it immediately, twice."""
    with trial.reserve(trial.find_owner("ordering")) as name:
        for _ in range(2):
            trial.site.kill(name)
            await trial.restart(name)
            await asyncio.sleep(SETTLE_S / 2)


async def freeze_owner(trial: Trial) -> None:
    """Freeze the process of an owner for some seconds."""
    with trial.reserve(trial.find_owner("ordering")) as name:
        trial.site.freeze(name)
        await asyncio.sleep(FREEZE_S)
        trial.site.thaw(name)
        await asyncio.sleep(SETTLE_S / 2)


async def leave_owner(trial: Trial) -> None:
    """Let an owner leave gracefully and restart it."""
    with trial.reserve(trial.find_owner("ordering")) as name:
        await trial.site.leave(name)
        await asyncio.sleep(SETTLE_S / 2)
        await trial.restart(name)
        await asyncio.sleep(SETTLE_S / 2)


async def partition_fleet(trial: Trial) -> None:
    """Split the fleet in two, the platform on one side, and publish a patch."""
    names = sorted(trial.site.settings)
    half = len(names) // 2
    async with trial.partition(names[:half], names[half:]):
        await asyncio.sleep(PARTITION_S / 2)
        trial.publish_patch()
        await asyncio.sleep(PARTITION_S / 2)


async def race_patches(trial: Trial) -> None:
    """Publish two patches with the same base version; only the first may apply."""
    base = trial.version
    trial.publish_patch()
    trial.publish_patch(base_version=base)
    await asyncio.sleep(SETTLE_S)


async def stop_platform(trial: Trial) -> None:
    """Make the platform unavailable and publish a patch before it recovers."""
    trial.site.platform.is_down = True
    await asyncio.sleep(SETTLE_S)
    trial.publish_patch()
    trial.site.platform.is_down = False


async def restart_into_stale(trial: Trial) -> None:
    """Restart an instance while the platform returns stale data."""
    platform = trial.site.platform
    trial.publish_patch()
    await asyncio.sleep(SETTLE_S)
    platform.stale_after = 1
    with trial.reserve(trial.find_owner("archive")) as name:
        trial.site.kill(name)
        await trial.restart(name)
        await asyncio.sleep(SETTLE_S)
    platform.stale_after = None


async def drain_target(trial: Trial) -> None:
    """Drain one target per service while the published list has it as live."""
    names = [
        trial.find_busiest_target(service)
        for service in trial.site.configuration.services
    ]
    trial.reserved.update(names)
    drains = [trial.drain(name) for name in names]
    await asyncio.sleep(DRAIN_S)
    for drain in drains:
        trial.end_drain(drain)
    trial.reserved.difference_update(names)


async def reject_fast(trial: Trial) -> None:
    """Let a target shed every request immediately."""
    await _apply_behaviour(trial, Behaviour(rejects=True))


async def slow_target(trial: Trial) -> None:
    """Multiply the service times of a target by ten."""
    await _apply_behaviour(trial, Behaviour(slow_factor=10.0))


async def blackhole_target(trial: Trial) -> None:
    """Discard all traffic on the open connections of a target."""
    with trial.reserve(trial.find_busiest_target("ordering")) as name:
        host = trial.site.targets[name].target.address.partition(":")[0]
        trial.site.network.blackhole(host)
        await asyncio.sleep(SETTLE_S)


async def blackhole_peers(trial: Trial) -> None:
    """Discard all traffic on the open connections between an owner and its peers."""
    host = trial.site.find_host(trial.find_owner("ordering"))
    others = [trial.site.find_host(name) for name in trial.site.settings]
    trial.site.network.blackhole(host, others)
    await asyncio.sleep(SETTLE_S)


async def blackhole_callers(trial: Trial) -> None:
    """Discard all traffic on the open connections of callers."""
    trial.site.network.blackhole(CALLER_HOST)
    await asyncio.sleep(SETTLE_S)


@attrs.frozen(kw_only=True)
class Fault:
    """A kind of fault and its permitted effects.

    Parameters
    ----------
    inject : callable
        Coroutine function that injects the fault and ends it.
    allows_unknown : bool
        Whether requests may have the outcome ``unknown``.
    is_exclusive : bool
        Whether the fault affects all instances and excludes other exclusive faults
        at the same time.
    """

    inject: Callable[[Trial], Awaitable[None]]
    allows_unknown: bool = False
    is_exclusive: bool = False


FAULTS = {
    "kill-owner": Fault(inject=kill_owner, allows_unknown=True),
    "kill-and-replace": Fault(inject=kill_and_replace, allows_unknown=True),
    "freeze-owner": Fault(inject=freeze_owner, allows_unknown=True),
    "leave-owner": Fault(inject=leave_owner),
    # A request that waits for evidence may be sent shortly before its deadline.
    "partition": Fault(inject=partition_fleet, allows_unknown=True, is_exclusive=True),
    "race-patches": Fault(inject=race_patches),
    "platform-down": Fault(inject=stop_platform, is_exclusive=True),
    "restart-into-stale": Fault(
        inject=restart_into_stale, allows_unknown=True, is_exclusive=True
    ),
    "drain-target": Fault(inject=drain_target),
    "reject-fast": Fault(inject=reject_fast),
    "slow-target": Fault(inject=slow_target, allows_unknown=True),
    "silent-target": Fault(inject=blackhole_target, allows_unknown=True),
    "silent-peers": Fault(inject=blackhole_peers),
    "silent-callers": Fault(inject=blackhole_callers, allows_unknown=True),
}


async def inject_fault(trial: Trial, name: str) -> None:
    """Inject a fault of `FAULTS` and record it in the journal."""
    fault = FAULTS[name]
    with trial.record_fault(name, allows_unknown=fault.allows_unknown):
        await fault.inject(trial)


async def _apply_behaviour(trial: Trial, behaviour: Behaviour) -> None:
    with trial.reserve(trial.find_busiest_target("ordering")) as name:
        trial.site.targets[name].set_behaviour(behaviour)
        await asyncio.sleep(SETTLE_S)
        trial.site.targets[name].set_behaviour(Behaviour())
