"""Seeded fault injection for the soak test; faults may overlap."""

import asyncio
import signal
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import attrs

from currantline.soak._environment import Environment
from currantline.soak._processes import SHUTDOWN_TIMEOUT_S
from currantline.soak._proxy import ProxyMode
from currantline.soak._publisher import SERVICES

__all__ = ["FAULTS", "FaultInjector"]

# Interval between the starts of two faults.
FAULT_INTERVAL_RANGE_S = (0.1, 1.0)

FAULT_DURATION_RANGE_S = (0.5, 4.0)

TARGETS_PER_PATH_FAULT = 4

# Time for which a target names a limit, and the range of its requests per second.
LIMIT_S = 9.0
LIMIT_RANGE_PER_S = (0.4, 4.0)

# Range of the time of silence that a rejecting target names.
SILENCE_RANGE_S = (0.3, 6.0)

# Range of the outage of a store that returns from an older copy.
OUTAGE_RANGE_S = (0.1, 2.0)

# Time after a return of the store by which all that it lost is written again.
REWRITE_S = 2.0

# Time for which a draining target keeps serving. This is three times the drain time
# of the platform because some targets take longer.
DRAIN_S = 6.0


@attrs.define
class FaultInjector:
    """Injects random faults into an environment.

    Parameters
    ----------
    environment : Environment
        The processes to inject faults into.
    report : callable
        Called with a line for each fault.
    names : sequence of str
        Faults to draw from, as in `FAULTS`.
    """

    environment: Environment
    report: Callable[[str], object]
    names: Sequence[str]
    _running: set["asyncio.Task[None]"] = attrs.field(factory=set)
    _reserved: set[str] = attrs.field(factory=set)
    _outages: int = 0

    async def run(self, duration_s: float) -> None:
        """Inject faults for a duration and wait until all of them have ended."""
        rng, clock = self.environment.rng, self.environment.clock
        started_ms = clock.read()
        while (elapsed_ms := clock.read() - started_ms) < 1000 * duration_s:
            name = rng.choice(self.names)
            self.report(f"{elapsed_ms / 1000:7.1f} s  {name}")
            task = asyncio.get_running_loop().create_task(FAULTS[name](self))
            self._running.add(task)
            task.add_done_callback(self._running.discard)
            await asyncio.sleep(rng.uniform(*FAULT_INTERVAL_RANGE_S))
        await asyncio.gather(*self._running)

    async def kill(self) -> None:
        """Kill an instance and restart it."""
        host = self._reserve_instance()
        if host:
            await self._kill_and_restart(host, "kill")

    async def kill_many(self) -> None:
        """Kill about half of the instances at the same time and restart them."""
        hosts = [
            self._reserve_instance()
            for _ in range(len(self.environment.instances) // 2)
        ]
        await asyncio.gather(
            *(self._kill_and_restart(host, "kill") for host in hosts if host)
        )

    async def stop(self) -> None:
        """Shut an instance down gracefully and restart it."""
        host = self._reserve_instance()
        if not host:
            return
        instance = self.environment.instances[host]
        with self.environment.record_fault("stop", host):
            instance.send(signal.SIGTERM)
            if not await instance.wait(SHUTDOWN_TIMEOUT_S):
                with self.environment.record_fault(
                    "killed after the shutdown timeout", host
                ):
                    await instance.kill()
            instance.start()
        self._reserved.discard(host)

    async def pause(self) -> None:
        """Suspend the process of an instance and resume it."""
        host = self._reserve_instance()
        if not host:
            return
        with self.environment.record_fault("pause", host):
            self.environment.instances[host].send(signal.SIGSTOP)
            await self._wait_fault_duration()
            self.environment.instances[host].send(signal.SIGCONT)
        self._reserved.discard(host)

    async def reload(self) -> None:
        """Rotate the seeds in the settings of an instance and maybe send SIGHUP.

        Without the signal, the instance has to notice the changed file by itself.
        """
        host = self._reserve_instance()
        if not host:
            return
        instance = self.environment.instances[host]
        instance.seeds = (instance.seeds[-1], *instance.seeds[:-1])
        with self.environment.record_fault("reload", host):
            instance.write_settings()
            if self.environment.rng.random() < 0.5:
                instance.send(signal.SIGHUP)
        self._reserved.discard(host)

    async def silence_store(self) -> None:
        """Delay or drop the store traffic of two instances."""
        rng = self.environment.rng
        modes = [mode for mode in ProxyMode if mode is not ProxyMode.PASS]
        mode = rng.choice(modes)
        hosts = rng.sample(list(self.environment.store_proxies), k=2)
        proxies = [self.environment.store_proxies[host] for host in hosts]
        with self.environment.record_fault("store", *hosts):
            for proxy in proxies:
                proxy.mode = mode
            await self._wait_fault_duration()
            for proxy in proxies:
                proxy.mode = ProxyMode.PASS
                proxy.reset()

    async def refuse_store(self) -> None:
        """Let the store reject all calls or discard its change history."""
        store = self.environment.publisher.store
        with self.environment.record_fault("down", "store"):
            if self.environment.rng.random() < 0.5:
                store.drop_history()
                return
            self._outages += 1
            store.is_down = True
            await self._wait_fault_duration()
            self._outages -= 1
            store.is_down = self._outages > 0

    async def return_store(self) -> None:
        """Let the store return from an older copy, maybe after a short outage."""
        environment = self.environment
        with environment.record_fault("returned", "store"):
            if environment.rng.random() < 0.5:
                self._outages += 1
                environment.publisher.store.is_down = True
                await asyncio.sleep(environment.rng.uniform(*OUTAGE_RANGE_S))
                self._outages -= 1
                environment.publisher.store.is_down = self._outages > 0
            await environment.publisher.restore_copy()
            await environment.publisher.write_again(REWRITE_S)

    async def harm_path(self) -> None:
        """Delay, drop or reset the connections to some targets."""
        rng = self.environment.rng
        names = rng.sample(list(self.environment.workers), k=TARGETS_PER_PATH_FAULT)
        proxies = [self.environment.workers[name].proxy for name in names]
        mode = rng.choice(list(ProxyMode))
        with self.environment.record_fault("path", *names):
            for proxy in proxies:
                proxy.mode = mode
            if mode is not ProxyMode.PASS:
                await self._wait_fault_duration()
            for proxy in proxies:
                proxy.mode = ProxyMode.PASS
                # Dropped bytes cannot be sent again, so the connections are unusable.
                proxy.reset()

    async def harm_target(self) -> None:
        """Let a target reject requests, fail them or never respond."""
        name = self.environment.rng.choice(list(self.environment.workers))
        worker = self.environment.workers[name].worker
        fault = self.environment.rng.choice(["is_rejecting", "is_failing", "is_losing"])
        with self.environment.record_fault(fault, name):
            setattr(worker, fault, True)
            await self._wait_fault_duration()
            setattr(worker, fault, False)

    async def limit_targets(self) -> None:
        """Let one target of a service, or all of them, limit their requests."""
        rng = self.environment.rng
        service = rng.choice(SERVICES)
        names = [
            name
            for name, registered in self.environment.workers.items()
            if registered.service == service and name not in self._reserved
        ]
        names = names[: rng.choice([1, len(names)])]
        self._reserved.update(names)
        with self.environment.record_limits(names, rng.uniform(*LIMIT_RANGE_PER_S)):
            await asyncio.sleep(LIMIT_S)
        self._reserved.difference_update(names)

    async def replace_target(self) -> None:
        """Start a target, then drain and remove another one of the same service."""
        name = self._reserve_target()
        if not name:
            return
        await self.environment.add_target(self.environment.workers[name].service)
        self.environment.drain_target(name)
        await asyncio.sleep(DRAIN_S)
        with self.environment.record_fault("gone", name):
            await self.environment.remove_target(name)

    async def announce_leaving(self) -> None:
        """Let a target say that it leaves, and remove it some time later.

        The store does not learn of it before.
        """
        name = self._reserve_target()
        if not name:
            return
        await self.environment.add_target(self.environment.workers[name].service)
        self.environment.announce_leaving(name)
        await asyncio.sleep(DRAIN_S)
        with self.environment.record_fault("gone", name):
            await self.environment.remove_target(name)

    async def want_silence(self) -> None:
        """Let a target reject requests and ask for silence."""
        name = self._reserve_target()
        if not name:
            return
        after_s = self.environment.rng.uniform(*SILENCE_RANGE_S)
        with self.environment.let_reject(name, after_s):
            await self._wait_fault_duration()
        self._reserved.discard(name)

    async def change_configuration(self) -> None:
        """Change the configuration once or three times in quick succession."""
        for _ in range(self.environment.rng.choice([1, 1, 3])):
            self.environment.change_configuration()
            await asyncio.sleep(0.2)

    def _reserve_target(self) -> str:
        name = self.environment.rng.choice(list(self.environment.workers))
        if name in self._reserved:
            return ""
        self._reserved.add(name)
        return name

    def _reserve_instance(self) -> str:
        free = [
            host for host in self.environment.instances if host not in self._reserved
        ]
        if len(free) <= 1:
            return ""
        host = self.environment.rng.choice(free)
        self._reserved.add(host)
        return host

    async def _kill_and_restart(self, host: str, fault: str) -> None:
        with self.environment.record_fault(fault, host):
            await self.environment.instances[host].kill()
            await self._wait_fault_duration()
            self.environment.instances[host].start()
        self._reserved.discard(host)

    async def _wait_fault_duration(self) -> None:
        await asyncio.sleep(self.environment.rng.uniform(*FAULT_DURATION_RANGE_S))


# Renaming a method changes the faults that a seed draws, since names are sorted.
FAULTS: dict[str, Callable[[FaultInjector], Coroutine[Any, Any, None]]] = {
    function.__name__.replace("_", " "): function
    for function in (
        FaultInjector.kill,
        FaultInjector.kill_many,
        FaultInjector.stop,
        FaultInjector.pause,
        FaultInjector.reload,
        FaultInjector.silence_store,
        FaultInjector.refuse_store,
        FaultInjector.return_store,
        FaultInjector.harm_path,
        FaultInjector.harm_target,
        FaultInjector.limit_targets,
        FaultInjector.replace_target,
        FaultInjector.announce_leaving,
        FaultInjector.want_silence,
        FaultInjector.change_configuration,
    )
}
