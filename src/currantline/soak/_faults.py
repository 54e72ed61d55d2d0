"""Faults of a soak, drawn from a seed; they come in series and overlap."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from currantline.soak._processes import GRACE_S
from currantline.soak._proxy import ProxyMode
from currantline.soak._world import World

__all__ = ["FAULTS", "Faults"]

# Time from the start of one fault to the next, in seconds.
GAP_S = (0.1, 1.0)

# Time that a fault lasts, in seconds.
LENGTH_S = (0.5, 4.0)

# Targets whose connections are harmed at once.
PATHS_AT_ONCE = 4

# Time for which a draining target serves on, in seconds: three times that of the
# platform, since some serve on for longer.
DRAIN_S = 6.0


@attrs.define
class Faults:
    """Causes faults.

    Parameters
    ----------
    world : World
        What is harmed.
    say : callable
        Takes a line for each fault.
    """

    world: World
    say: Callable[[str], object]
    _running: set["asyncio.Task[None]"] = attrs.field(factory=set)
    _busy: set[str] = attrs.field(factory=set)
    _outages: int = 0

    async def run(self, duration_s: float) -> None:
        """Cause faults for a time, and wait until all of them are over."""
        rng, clock = self.world.rng, self.world.clock
        begun_ms = clock.read()
        while (passed_ms := clock.read() - begun_ms) < 1000 * duration_s:
            name = rng.choice(sorted(FAULTS))
            self.say(f"{passed_ms / 1000:7.1f} s  {name}")
            task = asyncio.get_running_loop().create_task(FAULTS[name](self))
            self._running.add(task)
            task.add_done_callback(self._running.discard)
            await asyncio.sleep(rng.uniform(*GAP_S))
        await asyncio.gather(*self._running)

    async def kill(self) -> None:
        """Kill an instance and start it again."""
        host = self._take_instance()
        if host:
            await self._end_instance(host, "kill")

    async def kill_many(self) -> None:
        """Kill about half of the instances at once and start them again."""
        hosts = [self._take_instance() for _ in range(len(self.world.instances) // 2)]
        await asyncio.gather(
            *(self._end_instance(host, "kill") for host in hosts if host)
        )

    async def stop(self) -> None:
        """Stop an instance as planned and start it again."""
        host = self._take_instance()
        if not host:
            return
        instance = self.world.instances[host]
        with self.world.disturb("stop", host):
            instance.send(signal.SIGTERM)
            if not await instance.wait(GRACE_S):
                with self.world.disturb("killed after its grace time", host):
                    await instance.kill()
            instance.start()
        self._busy.discard(host)

    async def pause(self) -> None:
        """Let an instance stand still for a while."""
        host = self._take_instance()
        if not host:
            return
        with self.world.disturb("pause", host):
            self.world.instances[host].send(signal.SIGSTOP)
            await self._last()
            self.world.instances[host].send(signal.SIGCONT)
        self._busy.discard(host)

    async def reload(self) -> None:
        """Write the settings of an instance with other seeds, and signal it."""
        host = self._take_instance()
        if not host:
            return
        instance = self.world.instances[host]
        instance.seeds = (instance.seeds[-1], *instance.seeds[:-1])
        with self.world.disturb("reload", host):
            instance.write_settings()
            if self.world.rng.random() < 0.5:
                instance.send(signal.SIGHUP)
        self._busy.discard(host)

    async def silence_store(self) -> None:
        """Let the store be silent, slow or cut one way for some instances."""
        rng = self.world.rng
        modes = [mode for mode in ProxyMode if mode is not ProxyMode.PASS]
        mode = rng.choice(modes)
        hosts = rng.sample(list(self.world.store_proxies), k=2)
        proxies = [self.world.store_proxies[host] for host in hosts]
        with self.world.disturb("store", *hosts):
            for proxy in proxies:
                proxy.mode = mode
            await self._last()
            for proxy in proxies:
                proxy.mode = ProxyMode.PASS
                proxy.reset()

    async def refuse_store(self) -> None:
        """Let the store refuse every call, or forget its history."""
        store = self.world.store
        with self.world.disturb("down", "store"):
            if self.world.rng.random() < 0.5:
                store.drop_history()
                return
            self._outages += 1
            store.is_down = True
            await self._last()
            self._outages -= 1
            store.is_down = self._outages > 0

    async def harm_path(self) -> None:
        """Delay, silence or reset the connections to some targets."""
        rng = self.world.rng
        names = rng.sample(list(self.world.workers), k=PATHS_AT_ONCE)
        proxies = [self.world.workers[name].proxy for name in names]
        mode = rng.choice(list(ProxyMode))
        with self.world.disturb("path", *names):
            for proxy in proxies:
                proxy.mode = mode
            if mode is not ProxyMode.PASS:
                await self._last()
            for proxy in proxies:
                proxy.mode = ProxyMode.PASS
                # What was swallowed never comes, as after a lost connection.
                proxy.reset()

    async def harm_target(self) -> None:
        """Let a target reject, fail or lose its answers."""
        name = self.world.rng.choice(list(self.world.workers))
        worker = self.world.workers[name].worker
        flaw = self.world.rng.choice(["is_rejecting", "is_failing", "is_losing"])
        with self.world.disturb(flaw, name):
            setattr(worker, flaw, True)
            await self._last()
            setattr(worker, flaw, False)

    async def replace_target(self) -> None:
        """Start a target, drain another one of its service and take that away."""
        name = self.world.rng.choice(list(self.world.workers))
        if name in self._busy:
            return
        self._busy.add(name)
        await self.world.add_target(self.world.workers[name].service)
        self.world.drain_target(name)
        await asyncio.sleep(DRAIN_S)
        with self.world.disturb("gone", name):
            await self.world.remove_target(name)

    async def change_configuration(self) -> None:
        """Change the configuration, sometimes in quick succession."""
        for _ in range(self.world.rng.choice([1, 1, 3])):
            self.world.change_configuration()
            await asyncio.sleep(0.2)

    def _take_instance(self) -> str:
        free = [host for host in self.world.instances if host not in self._busy]
        if len(free) <= 1:
            return ""
        host = self.world.rng.choice(free)
        self._busy.add(host)
        return host

    async def _end_instance(self, host: str, fault: str) -> None:
        with self.world.disturb(fault, host):
            await self.world.instances[host].kill()
            await self._last()
            self.world.instances[host].start()
        self._busy.discard(host)

    async def _last(self) -> None:
        await asyncio.sleep(self.world.rng.uniform(*LENGTH_S))


FAULTS: dict[str, Callable[[Faults], Coroutine[Any, Any, None]]] = {
    function.__name__.replace("_", " "): function
    for function in (
        Faults.kill,
        Faults.kill_many,
        Faults.stop,
        Faults.pause,
        Faults.reload,
        Faults.silence_store,
        Faults.refuse_store,
        Faults.harm_path,
        Faults.harm_target,
        Faults.replace_target,
        Faults.change_configuration,
    )
}
