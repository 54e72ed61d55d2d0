"""Pulls missing changes of published records from other instances."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs

from currantline.clock import Clock
from currantline.exceptions import PeerError, WireError
from currantline.fleet._member import Datagram, Member
from currantline.replica import Changes, Replica
from currantline.telemetry import EventLog

__all__ = ["ReplicaPuller"]

# Delay before a change is pulled from another data centre; the reader of this data
# centre usually delivers it sooner.
REMOTE_PULL_DELAY_MS = 250.0

# Delay after a failed pull.
PULL_RETRY_DELAY_MS = 100.0

# Time after which another source is asked as well, since the first may be frozen or cut
# off. The platform states 2 s for changes to be in force.
PULL_HEDGE_DELAY_MS = 250.0

# Maximum number of pulls in progress, which bounds what slow links carry in vain.
MAX_PULLS = 3

Pull = Callable[[str, int], Awaitable[Changes]]


@attrs.define
class _Checkpoint:
    incarnation: int
    position: int


@attrs.define
class _AheadMember:
    member: Member
    replica_state: tuple[int, int]
    since_ms: float


class ReplicaPuller:
    """Keeps the replica in sync with those of other instances.

    Parameters
    ----------
    replica : Replica
        Replica of this instance.
    data_centre : str
        Data centre of this instance.
    pull : callable
        Coroutine function that requests the changes after a position from a host.
    apply_changes : callable
        Applies pulled changes to the replica.
    clock : Clock
        Source of time.
    rng : random.Random
        Chooses among possible sources.
    log : EventLog
        Log of events.
    """

    def __init__(
        self,
        replica: Replica,
        *,
        data_centre: str,
        pull: Pull,
        apply_changes: Callable[[Changes], None],
        clock: Clock,
        rng: random.Random,
        log: EventLog,
    ) -> None:
        self._replica = replica
        self._data_centre = data_centre
        self._pull = pull
        self._apply_changes = apply_changes
        self._clock = clock
        self._rng = rng
        self._log = log
        self._checkpoints: dict[str, _Checkpoint] = {}
        self._ahead_members: dict[str, _AheadMember] = {}
        self._wake = asyncio.Event()
        # Replica states that the sources of the pulls in progress have advertised.
        self._pulls: dict[asyncio.Task[bool], tuple[int, int]] = {}

    def observe(self, datagram: Datagram) -> None:
        """Record the replica state that the sender advertises."""
        sender = datagram.sender
        replica_state = (datagram.revision, datagram.digest)
        if not self._is_ahead(replica_state):
            self._ahead_members.pop(sender.host, None)
            return
        previous = self._ahead_members.get(sender.host)
        since_ms = previous.since_ms if previous else self._clock.read()
        self._ahead_members[sender.host] = _AheadMember(sender, replica_state, since_ms)
        self._wake.set()

    async def run(self) -> None:
        """Pull until cancelled."""
        try:
            while True:
                self._wake.clear()
                self._start_pull()
                if self._pulls:
                    await self._wait_for_pulls()
                else:
                    await self._wait()
        finally:
            for task in self._pulls:
                task.cancel()

    def _start_pull(self) -> None:
        source = self.choose_source()
        if source is not None and len(self._pulls) < MAX_PULLS:
            # A source that is still ahead afterwards shows that by its next datagram.
            replica_state = self._ahead_members.pop(source.host).replica_state
            task = asyncio.get_running_loop().create_task(self._pull_from(source))
            self._pulls[task] = replica_state

    async def _wait_for_pulls(self) -> None:
        done, _ = await asyncio.wait(
            self._pulls,
            timeout=PULL_HEDGE_DELAY_MS / 1000,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            del self._pulls[task]
        results = [task.result() for task in done]
        if any(results):
            self._cancel_needless_pulls()
        elif results and not self._pulls:
            await asyncio.sleep(PULL_RETRY_DELAY_MS / 1000)

    def _cancel_needless_pulls(self) -> None:
        for task, replica_state in list(self._pulls.items()):
            if not self._is_ahead(replica_state):
                task.cancel()
                del self._pulls[task]

    def choose_source(self) -> Member | None:
        """Return the instance to pull from, or None if no pull is due."""
        now = self._clock.read()
        ahead = list(self._ahead_members.values())
        local = [a for a in ahead if a.member.data_centre == self._data_centre]
        if not self._replica.revision:
            due = local or ahead
        else:
            due = local or [
                a for a in ahead if now - a.since_ms >= REMOTE_PULL_DELAY_MS
            ]
        return self._rng.choice(due).member if due else None

    async def _wait(self) -> None:
        # Pulls from other data centres become due without a further datagram.
        timeout_s = PULL_RETRY_DELAY_MS / 1000 if self._ahead_members else None
        try:
            async with asyncio.timeout(timeout_s):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _pull_from(self, source: Member) -> bool:
        previous = self._checkpoints.get(source.host)
        is_same_incarnation = (
            previous is not None and previous.incarnation == source.incarnation
        )
        after = previous.position if previous is not None and is_same_incarnation else 0
        try:
            changes = await self._pull(source.host, after)
            if changes.after and self._replica.is_gap_before(changes):
                changes = await self._pull(source.host, 0)
        except (WireError, PeerError) as error:
            self._log.write("pull_failed", peer=source.host, reason=str(error))
            return False
        self._checkpoints[source.host] = _Checkpoint(
            source.incarnation, changes.position
        )
        self._apply_changes(changes)
        for host, ahead in list(self._ahead_members.items()):
            if not self._is_ahead(ahead.replica_state):
                del self._ahead_members[host]
        return True

    def _is_ahead(self, replica_state: tuple[int, int]) -> bool:
        local_state = (self._replica.revision, self._replica.digest)
        return replica_state[0] >= local_state[0] and replica_state != local_state
