"""Loans held by an instance, and reports of slots used without a loan."""

import attrs

from currantline.dispatch._messages import Lend, Renew, Return, Send, Usage
from currantline.dispatch._slots import BorrowedSlot

__all__ = ["BorrowedSlots", "UsageReporter"]

INFINITY = float("inf")


class BorrowedSlots:
    """Slots that owners have lent to this instance for one service."""

    def __init__(self) -> None:
        self._loans: dict[tuple[str, int], BorrowedSlot] = {}
        self._idle: list[BorrowedSlot] = []
        # Ended loans are kept for some time, so that a duplicate or late Lend does
        # not revive a slot that its owner may have given to another instance.
        self._ended: dict[tuple[str, int], float] = {}

    def __len__(self) -> int:
        return len(self._loans)

    def is_known(self, owner: str, loan_id: int) -> bool:
        """Return whether a loan is held or ended recently."""
        return (owner, loan_id) in self._loans or (owner, loan_id) in self._ended

    def holds(self, loan: BorrowedSlot | None) -> bool:
        """Return whether a loan is still held."""
        return loan is not None and (loan.owner, loan.loan_id) in self._loans

    def add(self, owner: str, lend: Lend, now: float, usable_until: float) -> None:
        """Add a loan as idle."""
        loan = BorrowedSlot(
            owner=owner,
            loan_id=lend.loan_id,
            target=lend.target,
            allow_long=lend.allow_long,
            lease_ms=lend.lease_ms,
            granted=now,
            renewed=now,
            usable_until=usable_until,
        )
        self._loans[owner, lend.loan_id] = loan
        self._idle.append(loan)

    def decline(self, owner: str, lend: Lend, now: float) -> Send:
        """Return a loan without using it."""
        self._ended[owner, lend.loan_id] = now + 10 * lend.lease_ms
        return Send(owner, Return(loan_id=lend.loan_id))

    def find_idle(self, now: float) -> list[BorrowedSlot]:
        """Return the loans whose slot may start a request."""
        return [loan for loan in self._idle if loan.may_start(now)]

    def use(self, loan: BorrowedSlot) -> None:
        """Mark an idle loan as used."""
        self._idle.remove(loan)

    def release(self, loan: BorrowedSlot) -> None:
        """Mark a loan as idle after its request has ended."""
        if self.holds(loan):
            self._idle.append(loan)

    def drop(self, now: float, owners: dict[str, str] | None = None) -> list[Send]:
        """Return all loans, or those of targets that now have another owner."""
        sends = []
        for loan in list(self._loans.values()):
            if owners is None or owners.get(loan.target) != loan.owner:
                sends.append(self._end(loan, now))
        return sends

    def return_idle(self, now: float) -> list[Send]:
        """Return the idle loans, which no waiting request can use."""
        return [self._end(loan, now) for loan in list(self._idle)]

    def renew(self, now: float) -> list[Send]:
        """Renew loans after half of their lease and return those that expired."""
        sends = []
        for loan in list(self._loans.values()):
            if now >= loan.expires:
                sends.append(self._end(loan, now))
            elif now >= loan.renewed + loan.lease_ms / 2:
                loan.renewed = now
                sends.append(Send(loan.owner, Renew(loan_id=loan.loan_id)))
        self._forget_ended(now)
        return sends

    def next_due(self) -> float:
        """Return when `renew` is needed next, or infinity."""
        ends = [loan.renewed + loan.lease_ms / 2 for loan in self._loans.values()]
        # Ended loans need no timer: `renew` discards them on the next call.
        return min(ends, default=INFINITY)

    def _forget_ended(self, now: float) -> None:
        # Loans have equal leases, so entries are in order of expiry and only the
        # first ones can be due. Scanning all of them took half of the time when many
        # loans ended.
        while self._ended:
            key, until = next(iter(self._ended.items()))
            if until > now:
                return
            del self._ended[key]

    def _end(self, loan: BorrowedSlot, now: float) -> Send:
        del self._loans[loan.owner, loan.loan_id]
        if loan in self._idle:
            self._idle.remove(loan)
        self._ended[loan.owner, loan.loan_id] = now + 10 * loan.lease_ms
        return Send(loan.owner, Return(loan_id=loan.loan_id))


@attrs.define
class _ReportedUsage:
    owner: str
    in_use: int
    sent: float


class UsageReporter:
    """Reports to owners which of their slots are used here without a loan.

    Parameters
    ----------
    service : str
        Name of the service.
    refresh_ms : float
        Time after which an unchanged report is sent again.
    """

    def __init__(self, service: str, refresh_ms: float) -> None:
        self._service = service
        self._refresh_ms = refresh_ms
        self._reported: dict[str, _ReportedUsage] = {}

    def plan(
        self, in_use: dict[str, int], owners: dict[str, str], now: float
    ) -> list[Send]:
        """Return the reports that are due.

        Parameters
        ----------
        in_use : dict of str to int
            Number of slots used without a loan, by target; zeros may be left out.
        owners : dict of str to str
            Owner of each target that this instance does not own.
        now : float
            Time in ms.
        """
        sends = []
        for target in sorted({*in_use, *self._reported}):
            owner = owners.get(target)
            count = in_use.get(target, 0)
            reported = self._reported.get(target)
            if owner is None:
                self._reported.pop(target, None)
            elif reported is None or reported.owner != owner:
                if count:
                    sends.append(self._make_report(target, owner, count, now))
                else:
                    self._reported.pop(target, None)
            elif reported.in_use != count or now >= reported.sent + self._refresh_ms:
                sends.append(self._make_report(target, owner, count, now))
        return sends

    def next_due(self) -> float:
        """Return when `plan` is needed next, or infinity."""
        sent = [reported.sent for reported in self._reported.values()]
        return min(sent, default=INFINITY) + self._refresh_ms

    def _make_report(self, target: str, owner: str, count: int, now: float) -> Send:
        if count:
            self._reported[target] = _ReportedUsage(owner, count, now)
        else:
            del self._reported[target]
        message = Usage(service=self._service, target=target, in_use=count)
        return Send(owner, message)
