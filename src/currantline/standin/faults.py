"""Fault scenarios on real processes: kills, freezes, drains, outages.

Each scenario runs a mixed load, causes a fault, and states which guarantees broke.
"""

import asyncio
import random
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import attrs
from absl import app, flags

from currantline.clock import MonotonicClock
from currantline.exceptions import PlatformError
from currantline.standin.caller import StandinCaller
from currantline.standin.fleet import Fleet
from currantline.standin.load import print_report, run_load

__all__ = ["SCENARIOS", "main"]

IN_FORCE_S = 7.0
DRAIN_S = 3.0
SETTLE_S = 4.0


@attrs.define
class Run:
    """One scenario's fleet and load."""

    fleet: Fleet
    caller: StandinCaller
    violations: list[str] = attrs.field(factory=list)

    async def load(self, *, seed: int, rate: float, duration_s: float) -> None:
        """Send the mixed load to all services."""
        async with asyncio.TaskGroup() as group:
            for service in self.fleet.configuration.services.values():
                group.create_task(
                    run_load(
                        self.caller,
                        service,
                        seed=seed,
                        rate=rate,
                        duration_s=duration_s,
                    )
                )

    def require(self, condition: bool, text: str) -> None:
        """Note a broken guarantee unless the condition holds."""
        if not condition:
            self.violations.append(text)

    def count(self, outcome: str) -> int:
        """Return how many requests ended with an outcome."""
        return sum(r.outcomes[outcome] for r in self.caller.results.values())


async def find_owner(run: Run, service: str) -> str:
    """Return the instance that address answers name first most often."""
    address = run.fleet.caller_addresses[0]
    response = await run.fleet.get(address, f"/v1/addresses/{service}")
    return str(response["addresses"][0]["instance"])


async def kill_owner(run: Run) -> None:
    """Kill an instance that owns targets; the rest goes on."""
    owner = await find_owner(run, "ordering")
    run.fleet.send_signal(owner, signal.SIGKILL)
    await run.fleet.wait_for_exit(owner)


async def kill_and_replace(run: Run) -> None:
    """Kill an owner and start it again, twice."""
    owner = await find_owner(run, "ordering")
    for _ in range(2):
        run.fleet.send_signal(owner, signal.SIGKILL)
        await run.fleet.wait_for_exit(owner)
        run.fleet.start_instance(owner)
        await run.fleet.wait_until_ready(owner)


async def freeze_owner(run: Run) -> None:
    """Stop an owner for five seconds, then let it go on."""
    owner = await find_owner(run, "ordering")
    run.fleet.send_signal(owner, signal.SIGSTOP)
    await asyncio.sleep(5.0)
    run.fleet.send_signal(owner, signal.SIGCONT)


async def leave_owner(run: Run) -> None:
    """Let an owner leave gracefully; no caller may be cut off."""
    owner = await find_owner(run, "ordering")
    run.fleet.send_signal(owner, signal.SIGTERM)
    code = await run.fleet.wait_for_exit(owner)
    run.require(code == 0, f"{owner} exited with {code}")


async def drain_target(run: Run) -> None:
    """Let targets drain while the list still names them live."""
    services = run.fleet.configuration.services.values()
    leaving = [service.targets[0] for service in services]
    for target in leaving:
        await run.fleet.set_behaviour(target, state="draining")
    await asyncio.sleep(DRAIN_S)
    before = [await run.fleet.get(t.address, "/standin/seen") for t in leaving]
    await asyncio.sleep(SETTLE_S)
    for target, seen in zip(leaving, before, strict=True):
        after = await run.fleet.get(target.address, "/standin/seen")
        new = sum(after.values()) - sum(seen.values())
        run.require(new == 0, f"{target.name} got {new} requests while draining")


async def reject_fast(run: Run) -> None:
    """Let one target of each service shed everything at once."""
    for service in run.fleet.configuration.services.values():
        await run.fleet.set_behaviour(service.targets[0], rejects=True)
    await asyncio.sleep(SETTLE_S)
    for service in run.fleet.configuration.services.values():
        await run.fleet.set_behaviour(service.targets[0])


async def slow_target(run: Run) -> None:
    """Let one target of each service run ten times slower."""
    for service in run.fleet.configuration.services.values():
        await run.fleet.set_behaviour(service.targets[0], slow_factor=10.0)
    await asyncio.sleep(SETTLE_S)


async def race_patches(run: Run) -> None:
    """Publish two patches against one version; one is in force everywhere."""
    await _publish_timeout(run, author="first", timeout_ms=2500.0)
    await _publish_timeout(run, author="second", timeout_ms=2600.0)
    await asyncio.sleep(IN_FORCE_S)
    versions = await _read_versions(run)
    expected = run.fleet.configuration.version + 1
    wrong = {name: v for name, v in versions.items() if v != expected}
    run.require(not wrong, f"version {expected} is not in force: {wrong}")


async def restart_into_stale(run: Run) -> None:
    """Restart an instance while the service is stale; no version falls."""
    await _publish_timeout(run, author="first", timeout_ms=2500.0)
    await asyncio.sleep(IN_FORCE_S)
    await run.fleet.set_platform(stale_after=1)
    restarted = next(iter(run.fleet.settings))
    run.fleet.send_signal(restarted, signal.SIGKILL)
    await run.fleet.wait_for_exit(restarted)
    run.fleet.start_instance(restarted)
    await run.fleet.wait_until_ready(restarted)
    versions = await _read_versions(run)
    expected = run.fleet.configuration.version + 1
    run.require(
        set(versions.values()) == {expected}, f"versions differ or fell: {versions}"
    )


async def platform_down(run: Run) -> None:
    """Take the platform away; callers notice nothing."""
    await run.fleet.set_platform(is_down=True)
    await asyncio.sleep(SETTLE_S)
    await run.fleet.set_platform(is_down=False)


async def kill_while_platform_down(run: Run) -> None:
    """Kill an owner while the platform is down."""
    await run.fleet.set_platform(is_down=True)
    await kill_owner(run)
    await asyncio.sleep(SETTLE_S)


async def silence_connections(run: Run) -> None:
    """Let open connections of every target go silent while new ones work."""
    async with asyncio.TaskGroup() as group:
        for target in run.fleet.targets:
            group.create_task(run.fleet.set_behaviour(target, is_silent=True))
    await asyncio.sleep(SETTLE_S)


@attrs.frozen(kw_only=True)
class Scenario:
    """A fault and what callers may see of it.

    Parameters
    ----------
    inject : callable
        Coroutine function that causes the fault.
    allows_unknown : bool
        Whether a request may end unknown.
    """

    inject: Callable[[Run], Awaitable[None]]
    allows_unknown: bool = False


SCENARIOS = {
    "kill-owner": Scenario(inject=kill_owner, allows_unknown=True),
    "kill-and-replace": Scenario(inject=kill_and_replace, allows_unknown=True),
    "freeze-owner": Scenario(inject=freeze_owner, allows_unknown=True),
    "leave-owner": Scenario(inject=leave_owner),
    "drain-target": Scenario(inject=drain_target),
    "reject-fast": Scenario(inject=reject_fast),
    "slow-target": Scenario(inject=slow_target),
    "race-patches": Scenario(inject=race_patches),
    "restart-into-stale": Scenario(inject=restart_into_stale, allows_unknown=True),
    "platform-down": Scenario(inject=platform_down),
    "kill-while-platform-down": Scenario(
        inject=kill_while_platform_down, allows_unknown=True
    ),
    "silent-connections": Scenario(inject=silence_connections, allows_unknown=True),
}


async def run_scenario(fleet: Fleet, scenario: Scenario) -> list[str]:
    """Run one scenario and return the guarantees that were broken."""
    options = flags.FLAGS
    await fleet.start()
    rng = random.Random(options.seed)
    caller = StandinCaller(fleet.caller_addresses, clock=MonotonicClock(), rng=rng)
    run = Run(fleet, caller)
    load = asyncio.create_task(
        run.load(seed=options.seed, rate=options.rate, duration_s=options.duration_s)
    )
    await asyncio.sleep(1.0)
    await scenario.inject(run)
    await load
    services = list(fleet.configuration.services.values())
    violations = print_report(caller, await fleet.count_requests(services))
    if not scenario.allows_unknown:
        run.require(run.count("unknown") == 0, "requests ended unknown")
    run.require(run.count("answered") > 0, "no request was answered")
    return violations + run.violations


def main(_: list[str]) -> int:
    """Run the scenarios and return 0 if every guarantee held."""
    options = flags.FLAGS
    failed = []
    for name in options.scenario or SCENARIOS:
        print(f"== {name}: {SCENARIOS[name].inject.__doc__}")
        sys.stdout.flush()
        with tempfile.TemporaryDirectory(prefix="currantline-faults-") as folder:
            fleet = Fleet(Path(folder), options.configuration, options.instances)
            try:
                violations = asyncio.run(run_scenario(fleet, SCENARIOS[name]))
            except PlatformError as error:
                violations = [str(error)]
            finally:
                fleet.stop()
        for line in violations:
            print(f"broken: {line}")
        failed += [name] if violations else []
    print(f"{len(failed)} scenarios with broken guarantees: {' '.join(failed)}")
    return 1 if failed else 0


async def _publish_timeout(run: Run, *, author: str, timeout_ms: float) -> None:
    changes = [{"set": "services/ordering/timeout_ms", "value": timeout_ms}]
    record = {
        "kind": "patch",
        "base_version": run.fleet.configuration.version,
        "author": author,
        "body": changes,
    }
    await run.fleet.publish_record(record)


async def _read_versions(run: Run) -> dict[str, Any]:
    versions = {}
    for name, settings in run.fleet.settings.items():
        status = await run.fleet.get(settings["operator_address"], "/status")
        versions[name] = status["version"]
    return versions


if __name__ == "__main__":
    flags.DEFINE_string("configuration", "examples/coop.yaml", "Configuration to run.")
    flags.DEFINE_multi_enum(
        "scenario", None, list(SCENARIOS), "Scenario to run; all if not given."
    )
    flags.DEFINE_integer("instances", 5, "Number of instances.")
    flags.DEFINE_float("duration_s", 14.0, "Seconds of load.")
    flags.DEFINE_float("rate", 30.0, "Requests per second for each service.")
    flags.DEFINE_integer("seed", 1, "Seed of the load.")
    app.run(main)
