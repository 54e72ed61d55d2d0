"""Requests evidence about targets from peers."""

import asyncio
from collections.abc import Awaitable, Callable

from eliot import log_message

from currantline.clock import Clock
from currantline.control._plan import OwnedTargets
from currantline.control._sources import EvidenceSources
from currantline.exceptions import PeerError, WireError
from currantline.load import (
    EvidenceRequestSchedule,
    LoadOptions,
    TargetNotice,
    TargetTracker,
)
from currantline.peer import Envelope

__all__ = ["EvidenceRequester"]

TICK_MS = 100.0
# An owner that has held the lease for this long has probed its targets itself.
LEASE_SETTLE_MS = 2000.0


class EvidenceRequester:
    """Requests evidence about targets without recent evidence.

    These are the owned targets until the lease has settled, and all targets of
    starved services, whose requests wait here without a message from an owner: after
    an owner has failed, such requests are placed by a local choice, which also needs
    evidence.

    Parameters
    ----------
    name : str
        Name of the local instance.
    plan : OwnedTargets
        Targets that the local instance owns.
    sources : EvidenceSources
        Peers to send requests to.
    target_tracker : TargetTracker
        Receives the evidence of the responses.
    find_address : callable
        Takes the name of a peer and returns its peer address, or None.
    deliver : callable
        Coroutine function that takes a peer address and an envelope.
    list_starved : callable
        Returns the starved services.
    on_response : callable
        Called after the evidence of a response was merged.
    clock : Clock
        Source of time.
    options : LoadOptions, optional
        Options of the load package.
    """

    def __init__(
        self,
        name: str,
        *,
        plan: OwnedTargets,
        sources: EvidenceSources,
        target_tracker: TargetTracker,
        find_address: Callable[[str], str | None],
        deliver: Callable[[str, Envelope], Awaitable[tuple[TargetNotice, ...]]],
        list_starved: Callable[[], list[str]],
        on_response: Callable[[], None],
        clock: Clock,
        options: LoadOptions | None = None,
    ) -> None:
        self._name = name
        self._plan = plan
        self._sources = sources
        self._target_tracker = target_tracker
        self._find_address = find_address
        self._deliver = deliver
        self._list_starved = list_starved
        self._on_response = on_response
        self._clock = clock
        self._options = options or LoadOptions()
        self._request_schedule = EvidenceRequestSchedule()
        self._lease_since: float | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send evidence requests until cancelled."""
        try:
            while True:
                self.tick()
                await asyncio.sleep(TICK_MS / 1000)
        finally:
            for task in tuple(self._tasks):
                task.cancel()

    def restart(self) -> None:
        """Send requests at once, after a change of owner or a reset."""
        self._request_schedule.reset()
        self.tick()

    def tick(self) -> None:
        """Send the evidence requests that are due."""
        now = self._clock.read()
        sources = {
            name: self._sources.find(name)
            for name in self._list_wanted(now)
            if self._target_tracker.report_age(name, now)
            >= self._options.probe_interval_ms
        }
        for peer, targets in self._request_schedule.choose(sources, now).items():
            address = self._find_address(peer)
            if address is not None:
                task = asyncio.create_task(self._request_evidence(address, targets))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def _list_wanted(self, now: float) -> list[str]:
        starved = self._list_starved()
        wanted = [t for name in starved for t in self._plan.list_targets(name)]
        if wanted:
            # The local instance may itself hold the share right of these targets.
            self._plan.asked.add(wanted, now)
        if not self._is_settled(now):
            wanted += [target.name for target in self._plan.list_owned()]
        return wanted

    def _is_settled(self, now: float) -> bool:
        if not self._plan.holds_majority():
            self._lease_since = None
            return False
        if self._lease_since is None:
            self._lease_since = now
        return now - self._lease_since >= LEASE_SETTLE_MS

    async def _request_evidence(self, address: str, targets: tuple[str, ...]) -> None:
        # The evidence is dated from here, because the response is created later.
        sent = self._clock.read()
        try:
            notices = await self._deliver(
                address, Envelope(sender=self._name, asked=targets)
            )
        except (PeerError, WireError) as error:
            log_message("currantline:asker", peer=address, error=str(error))
            return
        now = self._clock.read()
        for notice in notices:
            if notice.target in targets:
                self._target_tracker.merge_notice(notice, now, requested_at=sent)
        self._on_response()
