"""Slot counts of one service at one instance."""

import random
from collections.abc import Iterable, Mapping, Sequence

import attrs

from currantline.exceptions import InvariantError

INFINITY = float("inf")

__all__ = ["BorrowedSlot", "LentSlot", "RunningRequest", "SlotTracker"]


@attrs.define(kw_only=True)
class RunningRequest:
    """A request of this instance that runs on a slot.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    route : str
        Name of the route.
    target : str
        Name of the target.
    is_long : bool
        Whether the request was expected to be long.
    started : float
        Start time in ms.
    loan : Borrowed or None
        Loan whose slot the request uses.
    """

    request_id: str
    route: str
    target: str
    is_long: bool
    started: float
    loan: "BorrowedSlot | None" = None


@attrs.define(kw_only=True)
class LentSlot:
    """A slot of an owned target that is lent to another instance."""

    loan_id: int
    target: str
    borrower: str
    is_long: bool
    since: float
    expires: float


@attrs.define(kw_only=True)
class BorrowedSlot:
    """A slot that its owner has lent to this instance."""

    owner: str
    loan_id: int
    target: str
    allow_long: bool
    lease_ms: float
    granted: float
    renewed: float
    # No request may start on the slot from this time on.
    usable_until: float
    request_id: str | None = None

    @property
    def expires(self) -> float:
        """Time at which the lease ends unless renewed."""
        return self.renewed + self.lease_ms

    def may_start(self, now: float) -> bool:
        """Return whether another request may start on the slot.

        Renewals only cover the running request. After the first lease period the
        slot is returned, so that the owner can reassign it by demand.
        """
        until = min(self.granted + self.lease_ms, self.usable_until)
        return self.request_id is None and now < until


@attrs.define
class _TargetSlots:
    name: str
    slots: int
    limit: int = 0
    accepts_loans: bool = True
    is_owned: bool = False
    is_configured: bool = True
    running: dict[str, RunningRequest] = attrs.field(factory=dict)
    lent: dict[int, LentSlot] = attrs.field(factory=dict)
    # Slots that each instance uses without a loan, and when its report expires.
    usage: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    allocated: int = 0
    free: int = 0

    def recount(self) -> None:
        """Recompute the allocated and free slots after a change."""
        used_elsewhere = sum(count for count, _ in self.usage.values())
        self.allocated = len(self.running) + len(self.lent) + used_elsewhere
        self.free = max(0, self.limit - self.allocated) if self.is_owned else 0

    def count_long(self, now: float, threshold_ms: float) -> int:
        started = [(r.is_long, r.started) for r in self.running.values()]
        started += [(loan.is_long, loan.since) for loan in self.lent.values()]
        return sum(long or now - since > threshold_ms for long, since in started)

    def can_start_long(self, now: float, threshold_ms: float) -> bool:
        """Return whether one more long request leaves a slot for short requests."""
        return self.limit == 1 or (self.count_long(now, threshold_ms) < self.limit - 1)


class SlotTracker:
    """Tracks the slots of the targets of one service.

    Parameters
    ----------
    rng : random.Random
        Random number generator, for choices among equal targets.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._targets: dict[str, _TargetSlots] = {}
        self._owned: list[_TargetSlots] = []
        # Lower bound of the time at which the next loan or usage report expires.
        self._next_end = INFINITY

    def set_targets(self, slots: dict[str, int]) -> None:
        """Apply the configured targets; others get no new requests."""
        for name, count in slots.items():
            known = self._targets.setdefault(name, _TargetSlots(name, count))
            known.slots = count
            known.is_configured = True
            known.limit = min(known.limit, count)
        for name in set(self._targets) - set(slots):
            known = self._targets[name]
            known.limit = 0
            known.accepts_loans = False
            known.is_owned = known.is_configured = False
            if not known.running:
                del self._targets[name]
        self._refresh()

    def set_owned(self, names: Iterable[str]) -> list[LentSlot]:
        """Apply the owned targets and drop the loans of all others."""
        owned = set(names)
        dropped: list[LentSlot] = []
        for name, target in self._targets.items():
            target.is_owned = name in owned and target.is_configured
            if not target.is_owned:
                dropped += target.lent.values()
                target.lent.clear()
                target.usage.clear()
        self._refresh()
        return dropped

    def clear_limits(self) -> None:
        """Stop using any target until its limit is set again."""
        for target in self._targets.values():
            target.limit = 0
            target.accepts_loans = False
            target.recount()

    def set_limit(self, name: str, slots: int, *, accepts_loans: bool) -> None:
        """Set how many slots of a target may be used, and whether loans may be."""
        if name in self._targets:
            target = self._targets[name]
            target.accepts_loans = accepts_loans
            target.limit = max(0, min(slots, target.slots))
            target.recount()

    def start(self, running: RunningRequest) -> None:
        """Add a running request.

        Raises
        ------
        InvariantError
            If the request already runs, or its slot is not free.
        """
        target = self._targets[running.target]
        if running.request_id in target.running:
            raise InvariantError(f"request {running.request_id} is already running")
        if running.loan is None and target.is_owned and target.free < 1:
            raise InvariantError(f"no slot of {running.target} is free")
        if running.loan is not None:
            if running.loan.request_id is not None:
                raise InvariantError(f"loan {running.loan.loan_id} is in use")
            running.loan.request_id = running.request_id
        target.running[running.request_id] = running
        target.recount()

    def finish(self, running: RunningRequest) -> None:
        """Remove a request that has ended.

        Raises
        ------
        InvariantError
            If the request is not running.
        """
        target = self._targets[running.target]
        if target.running.pop(running.request_id, None) is None:
            raise InvariantError(f"request {running.request_id} is not running")
        target.recount()
        if not target.is_configured and not target.running:
            del self._targets[target.name]
            self._refresh()
        if running.loan is not None:
            running.loan.request_id = None

    def lend(self, lent: LentSlot) -> None:
        """Add a lent slot.

        Raises
        ------
        InvariantError
            If no slot of the target is free.
        """
        target = self._targets[lent.target]
        if target.free < 1:
            raise InvariantError(f"no slot of {lent.target} is free to lend")
        target.lent[lent.loan_id] = lent
        target.recount()
        self._next_end = min(self._next_end, lent.expires)

    def find_lent(self, loan_id: int) -> LentSlot | None:
        """Return the lent slot of a loan, or None if the loan has ended."""
        for target in self._owned:
            if loan_id in target.lent:
                return target.lent[loan_id]
        return None

    def take_back(self, lent: LentSlot) -> None:
        """Remove a lent slot."""
        target = self._targets[lent.target]
        target.lent.pop(lent.loan_id, None)
        target.recount()

    def expire(self, now: float) -> list[LentSlot]:
        """Take back slots whose lease has ended and drop expired usage reports."""
        if now < self._next_end:
            return []
        ended = []
        for target in self._owned:
            over = [loan for loan in target.lent.values() if loan.expires <= now]
            for loan in over:
                del target.lent[loan.loan_id]
            ended += over
            for name in [n for n, (_, end) in target.usage.items() if end <= now]:
                del target.usage[name]
            target.recount()
        ends = [loan.expires for t in self._owned for loan in t.lent.values()]
        ends += [end for t in self._owned for _, end in t.usage.values()]
        self._next_end = min(ends, default=INFINITY)
        return ended

    def next_expiry(self) -> float:
        """Return a lower bound of when the next loan or usage report expires."""
        return self._next_end

    def record_usage(self, name: str, instance: str, count: int, until: float) -> None:
        """Record how many slots of an owned target another instance uses."""
        target = self._targets.get(name)
        if target is None or not target.is_owned:
            return
        if count > 0:
            target.usage[instance] = (count, until)
            self._next_end = min(self._next_end, until)
        else:
            target.usage.pop(instance, None)
        target.recount()

    def count_lent(self) -> int:
        """Return how many slots are lent."""
        return sum(len(target.lent) for target in self._owned)

    def list_free(self) -> list[str]:
        """Return the names of the owned targets with free slots."""
        return [target.name for target in self._owned if target.free > 0]

    def count_free(self) -> int:
        """Return how many slots of owned targets are free."""
        return sum(target.free for target in self._owned)

    def is_owner(self, name: str) -> bool:
        """Return whether this instance owns a target."""
        return name in self._targets and self._targets[name].is_owned

    def accepts_loans(self, name: str) -> bool:
        """Return whether requests may start on borrowed slots of a target."""
        return name in self._targets and self._targets[name].accepts_loans

    @property
    def has_usable_target(self) -> bool:
        """Whether any owned target accepts requests."""
        return any(target.limit > 0 for target in self._owned)

    def has_usable_target_except(self, avoid: frozenset[str]) -> bool:
        """Return whether any other target is known to accept requests."""
        return any(
            target.limit > 0 and name not in avoid
            for name, target in self._targets.items()
        )

    def choose(self, avoid: frozenset[str] = frozenset()) -> str | None:
        """Choose the owned target with a free slot and the fewest allocated slots."""
        free = [target for target in self._owned if target.free > 0]
        return self._pick([target for target in free if target.name not in avoid])

    def choose_for_long(
        self,
        now: float,
        threshold_ms: float,
        *,
        spare: int = 1,
        avoid: frozenset[str] = frozenset(),
    ) -> str | None:
        """Choose an owned target for a long request.

        Parameters
        ----------
        now : float
            Time in ms.
        threshold_ms : float
            Running time above which a request counts as long.
        spare : int
            Number of free slots that must remain, except on targets with one slot.
        avoid : frozenset of str
            Targets that are not chosen.

        Returns
        -------
        str or None
            None if a long request would leave no slot for short requests.
        """
        candidates = [
            target
            for target in self._owned
            if target.free > 0
            and (target.free > spare or target.limit == 1)
            and target.can_start_long(now, threshold_ms)
            and target.name not in avoid
        ]
        return self._pick(candidates)

    def can_start_long(self, name: str, now: float, threshold_ms: float) -> bool:
        """Return whether a target can run one more long request."""
        return self._targets[name].can_start_long(now, threshold_ms)

    def choose_local(
        self,
        *,
        is_long: bool,
        now: float,
        threshold_ms: float,
        avoid: frozenset[str] = frozenset(),
    ) -> str | None:
        """Choose by power of two choices on this instance's in-flight requests."""
        candidates = [
            (name, target)
            for name, target in self._targets.items()
            if len(target.running) < target.limit
            and name not in avoid
            and (not is_long or target.can_start_long(now, threshold_ms))
        ]
        if not candidates:
            return None
        pair = self._rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda entry: len(entry[1].running))[0]

    def check(self, running: Mapping[str, RunningRequest]) -> None:
        """Check the slot counts against the running requests.

        Raises
        ------
        InvariantError
            If they differ, or a slot of a target that is not owned is lent.
        """
        counted = [r for t in self._targets.values() for r in t.running.values()]
        if sorted(r.request_id for r in counted) != sorted(running):
            raise InvariantError("running requests and slots in use differ")
        for target in self._targets.values():
            if target.lent and not target.is_owned:
                raise InvariantError(
                    f"slots of {target.name} are lent but the target is not owned"
                )
            allocated = target.allocated
            target.recount()
            if target.allocated != allocated:
                raise InvariantError(f"slots of {target.name} were miscounted")

    def _refresh(self) -> None:
        self._owned = [t for t in self._targets.values() if t.is_owned]
        for target in self._targets.values():
            target.recount()

    def _pick(self, targets: Sequence[_TargetSlots]) -> str | None:
        if not targets:
            return None
        least = min(target.allocated for target in targets)
        equal = [target for target in targets if target.allocated == least]
        chosen = equal[0] if len(equal) == 1 else self._rng.choice(equal)
        return chosen.name
