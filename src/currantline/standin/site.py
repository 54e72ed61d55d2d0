"""A whole deployment in one process, on the in-memory network.

The instances are the real ones; the platform and the targets are stand-ins. With
a seed, a session gives the same result every run.
"""

import asyncio
import random
from collections import Counter
from typing import Any

from currantline.clock import Clock
from currantline.compose import Instance
from currantline.configuration import Configuration, Target, render_configuration
from currantline.settings import Settings
from currantline.standin.caller import StandinCaller
from currantline.standin.network import LoopClock, Network, run_on_host
from currantline.standin.platform import Platform
from currantline.standin.target import StandinTarget

__all__ = ["Site"]

PLATFORM_HOST = "10.9.0.1"
PLATFORM_ADDRESS = f"{PLATFORM_HOST}:7900"
CALLER_HOST = "10.9.0.2"
START_WALL_MS = 1_700_000_000_000


class Site:
    """A platform, targets and instances on an in-memory network.

    Parameters
    ----------
    configuration : Configuration
        What the platform publishes at first.
    count : int
        Number of instances.
    seed : int
        Seed of all randomness.
    network : Network
        Reachability of hosts.
    """

    def __init__(
        self, configuration: Configuration, *, count: int, seed: int, network: Network
    ) -> None:
        self.configuration = configuration
        self.network = network
        self.platform = Platform()
        self.targets: dict[str, StandinTarget] = {}
        self.instances: dict[str, Instance] = {}
        # All starts by process name, also those that have ended.
        self.instances_by_process: dict[str, Instance] = {}
        self.clock: Clock = LoopClock(asyncio.get_running_loop())
        self._seed = seed
        self._start_counts: Counter[str] = Counter()
        self.settings = {
            settings.name: settings
            for settings in (self._build_settings(number) for number in range(count))
        }

    async def start(self) -> None:
        """Start the platform, all targets and all instances."""
        await run_on_host(PLATFORM_HOST, self.platform.service.start(PLATFORM_ADDRESS))
        for service in self.configuration.services.values():
            for target in service.targets:
                await self._start_target(target)
        self.publish_list()
        body = render_configuration(self.configuration)
        self.platform.publish({"kind": "snapshot", "author": "site", "body": body})
        for name in self.settings:
            await self.start_instance(name)

    async def start_instance(self, name: str) -> None:
        """Start an instance as a new process on its host."""
        self._start_counts[name] += 1
        settings = self.settings[name]
        instance = Instance(
            settings,
            clock=self.clock,
            rng=random.Random(f"{self._seed} {name} {self._start_counts[name]}"),
            incarnation=START_WALL_MS + int(self.clock.read()),
        )
        self.instances[name] = instance
        self.instances_by_process[self.find_process(name)] = instance
        await run_on_host(
            self.find_host(name), instance.start(), process=self.find_process(name)
        )

    async def join(self) -> str:
        """Start and list one more instance and return its name."""
        settings = self._build_settings(len(self.settings))
        self.settings[settings.name] = settings
        self.publish_list()
        await self.start_instance(settings.name)
        return settings.name

    def kill(self, name: str) -> None:
        """Kill an instance."""
        self.network.kill(self.find_process(name))
        del self.instances[name]

    def freeze(self, name: str) -> None:
        """Stop an instance."""
        self.network.freeze(self.find_process(name))

    def thaw(self, name: str) -> None:
        """Let an instance go on."""
        self.network.thaw(self.find_process(name))

    async def leave(self, name: str) -> None:
        """Let an instance leave gracefully."""
        instance = self.instances.pop(name)
        await run_on_host(
            self.find_host(name), instance.leave(), process=self.find_process(name)
        )

    def partition(self, *groups: list[str]) -> None:
        """Cut groups of instances off from each other, not from targets."""
        self.network.partition(*([self.find_host(name) for name in g] for g in groups))

    def isolate(self, names: list[str]) -> None:
        """Cut instances off from all others and from the platform."""
        others = [self.find_host(name) for name in self.settings if name not in names]
        self.network.partition(
            [*others, PLATFORM_HOST], [self.find_host(name) for name in names]
        )

    def publish_list(self, leaving: frozenset[str] = frozenset()) -> None:
        """Publish the list of instances and targets."""
        entries: list[dict[str, Any]] = [
            {
                "kind": "instance",
                "state": "live",
                "name": settings.name,
                "data_centre": settings.data_centre,
                "caller_address": settings.caller_address,
                "peer_address": settings.peer_address,
            }
            for settings in self.settings.values()
        ]
        entries += [
            {
                "kind": "target",
                "name": name,
                "state": "leaving" if name in leaving else "live",
            }
            for name in self.targets
        ]
        self.platform.entries = entries

    def build_caller(self) -> StandinCaller:
        """Return a caller that knows all instances."""
        addresses = [settings.caller_address for settings in self.settings.values()]
        return StandinCaller(
            addresses, clock=self.clock, rng=random.Random(f"{self._seed} caller")
        )

    def count_requests(self) -> Counter[str]:
        """Return how often targets saw each request."""
        seen: Counter[str] = Counter()
        for standin in self.targets.values():
            seen.update(standin.request_counts)
        return seen

    def find_host(self, name: str) -> str:
        """Return the IP number of an instance."""
        return self.settings[name].caller_address.partition(":")[0]

    def find_process(self, name: str) -> str:
        """Return the process name of the latest start of an instance."""
        return f"{name}#{self._start_counts[name]}"

    async def _start_target(self, target: Target) -> None:
        rng = random.Random(f"{self._seed} {target.name}")
        standin = StandinTarget(target, rng, clock=self.clock)
        self.targets[target.name] = standin
        host = target.address.partition(":")[0]
        await run_on_host(host, standin.service.start(target.address))

    def _build_settings(self, number: int) -> Settings:
        targets = [t for s in self.configuration.services.values() for t in s.targets]
        data_centres = sorted({target.data_centre for target in targets})
        host = f"10.1.0.{number + 1}"
        return Settings(
            name=f"instance-{number}",
            data_centre=data_centres[number % len(data_centres)],
            caller_address=f"{host}:7100",
            peer_address=f"{host}:7200",
            operator_address=f"{host}:7300",
            platform_address=PLATFORM_ADDRESS,
        )
