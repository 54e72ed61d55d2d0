"""Tests of a store that returns restored from an older copy, in virtual time."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from currantline.gateway import Gateway
from currantline.platform.samples import make_configuration, make_target_entry
from currantline.standin.store import StoreCopy
from currantline.tests.support import HOSTS, STORE, Deployment, run

# Time by which writers have written again what the copy lacks, and by which all
# instances must use it.
REWRITE_S = 2.0
CATCH_UP_S = 6.0

# Instances that watch the store.
READERS = ("10.1.0.1", "10.2.0.1")

Return = Callable[[Deployment, StoreCopy], Awaitable[None]]


async def return_plainly(deployment: Deployment, copy: StoreCopy) -> None:
    """Restore the copy at once."""
    deployment.store.restore(copy)


async def return_after_outage(deployment: Deployment, copy: StoreCopy) -> None:
    """Restore the copy while the store answers 503, and with the next era."""
    deployment.store.is_down = True
    await asyncio.sleep(1.0)
    deployment.store.restore(copy)
    await asyncio.sleep(1.5)
    deployment.store.is_down = False


async def return_twice(deployment: Deployment, copy: StoreCopy) -> None:
    """Restore the copy again after half of the time for the writers has passed."""
    deployment.store.restore(copy)
    await asyncio.sleep(REWRITE_S / 2)
    deployment.store.restore(copy)


async def return_unread(deployment: Deployment, copy: StoreCopy) -> None:
    """Restore the copy while one reader cannot reach the store."""
    deployment.network.partition([STORE], [READERS[0]])
    await asyncio.sleep(0.1)
    deployment.store.restore(copy)
    # The time of the writers has begun.
    asyncio.get_running_loop().call_later(0.5, deployment.network.heal)


async def return_and_kill_readers(deployment: Deployment, copy: StoreCopy) -> None:
    """Restore the copy and kill the readers just after they have read it."""
    deployment.store.restore(copy)
    await asyncio.sleep(0.01)
    for host in READERS:
        await deployment.kill(host)


async def return_and_restart(deployment: Deployment, copy: StoreCopy) -> None:
    """Restart an instance that reads the copy before any other learns of it."""
    await deployment.kill("10.2.0.1")
    deployment.network.partition(["10.1.0.1", "10.1.0.2", "10.1.0.3"], ["10.2.0.1"])
    deployment.store.restore(copy)
    deployment.network.thaw_all()
    await deployment.add_instance("10.2.0.1")
    asyncio.get_running_loop().call_later(1.0, deployment.network.heal)


async def write_again(deployment: Deployment, seed: int) -> None:
    """Write what the copy lacks, in a random order, until the writers' time is over."""
    store, rng = deployment.store, random.Random(seed)
    writes: list[Callable[[], None]] = [
        lambda: store.put("op/config", make_configuration(2)),
        lambda: store.put(
            "servers/i-1",
            make_target_entry("10.9.0.1:80", state="draining", sequence=6),
        ),
        lambda: store.remove("servers/i-2"),
        lambda: store.put("servers/i-3", make_target_entry("10.9.0.3:80", sequence=5)),
    ]
    rng.shuffle(writes)
    for write in writes:
        await asyncio.sleep(0.9 * REWRITE_S / len(writes))
        write()


def check_kept(gateway: Gateway) -> None:
    """Check that an instance has not fallen back to the old copy."""
    assert gateway.table is not None
    assert gateway.table.version == 2
    usable = [target.name for target in gateway.targets.list_usable("svc")]
    assert usable == ["i-3"]


async def lose_writes(deployment: Deployment) -> StoreCopy:
    """Return a copy, then write a configuration, a drain, a removal and an entry."""
    store = deployment.store
    copy = store.take_copy()
    store.put("op/config", make_configuration(2))
    entry = make_target_entry("10.9.0.1:80", state="draining", sequence=5)
    store.put("servers/i-1", entry)
    await deployment.add_worker("i-3", "10.9.0.3")
    store.remove("servers/i-2")
    await asyncio.sleep(1.0)
    for gateway in deployment.gateways.values():
        check_kept(gateway)
    return copy


class TestReturn:
    """The fleet while the store returns, and after all is written again."""

    @pytest.mark.parametrize("era", [None, 40])
    @pytest.mark.parametrize(
        "let_return",
        [
            return_plainly,
            return_after_outage,
            return_twice,
            return_unread,
            return_and_kill_readers,
            return_and_restart,
        ],
    )
    def test_return(self, let_return: Return, era: int | None) -> None:
        """Guards against an old copy in force, and against writes that are ignored.

        The copy has the first configuration, both targets ready and no third one.
        """

        async def scenario(deployment: Deployment) -> None:
            deployment.store.era = era
            await asyncio.sleep(CATCH_UP_S)
            copy = await lose_writes(deployment)
            before = {id(gateway) for gateway in deployment.gateways.values()}

            async def watch_kept() -> None:
                while True:
                    for gateway in deployment.gateways.values():
                        if id(gateway) in before:
                            check_kept(gateway)
                    await asyncio.sleep(0.02)

            watching = asyncio.create_task(watch_kept())
            await let_return(deployment, copy)
            await write_again(deployment, seed=era or 0)
            await asyncio.sleep(CATCH_UP_S)
            assert not watching.done(), watching.exception()
            watching.cancel()
            for gateway in deployment.gateways.values():
                check_kept(gateway)
                gauge = f"store_era {deployment.store.era}.0".encode()
                assert gauge in gateway.meter.render()
            replicas = [gateway.replica for gateway in deployment.gateways.values()]
            assert len({(r.revision, r.digest) for r in replicas}) == 1
            deployment.store.put("op/config", make_configuration(3))
            await asyncio.sleep(1.0)
            assert set(deployment.list_versions()) == {3}

        run(scenario)

    def test_absence_after_the_return(self) -> None:
        """Guards against an entry that nobody writes again and that is kept forever."""

        async def scenario(deployment: Deployment) -> None:
            copy = await lose_writes(deployment)
            deployment.store.restore(copy)
            await asyncio.sleep(REWRITE_S)
            for gateway in deployment.gateways.values():
                assert gateway.targets.find("i-3") is not None
            await asyncio.sleep(CATCH_UP_S - REWRITE_S)
            for gateway in deployment.gateways.values():
                assert gateway.targets.find("i-3") is None

        run(scenario)

    def test_few_calls(self) -> None:
        """Guards against a store that all instances read in full when it returns."""

        async def scenario(deployment: Deployment) -> None:
            copy = await lose_writes(deployment)
            before = deployment.store.call_count
            deployment.store.restore(copy)
            await asyncio.sleep(CATCH_UP_S)
            assert deployment.store.call_count - before <= 8 * len(HOSTS)

        run(scenario)
