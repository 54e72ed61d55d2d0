"""Gossip table: which instances are live."""

import random
from collections.abc import Iterable, Mapping

import attrs

from currantline.exceptions import InvariantError, WireError
from currantline.membership._contact import Contact, choose_contact
from currantline.membership._entry import InstanceEntry, Status, View
from currantline.membership._gossip import (
    Gossip,
    GossipRow,
    IntroducedRow,
    hash_keys,
    row_key,
)
from currantline.membership._options import MembershipOptions
from currantline.membership._row import Row

__all__ = ["GossipTable"]


class GossipTable:
    """What one instance knows of all instances.

    Parameters
    ----------
    entry : InstanceEntry
        The instance itself.
    options : MembershipOptions, optional
        Times and counts.
    seeds : iterable of Contact
        Instances to contact before any other is known.
    """

    def __init__(
        self,
        entry: InstanceEntry,
        *,
        options: MembershipOptions | None = None,
        seeds: Iterable[Contact] = (),
    ) -> None:
        self._own = entry
        self._options = options or MembershipOptions()
        self._rows: dict[str, Row] = {}
        self._rival: Row | None = None
        self._seeds = {seed.name: seed for seed in seeds}
        self._listed: dict[str, Contact] = {}
        # Incarnation that the published list named leaving; None if not yet known.
        self._listed_leaving: dict[str, int | None] = {}

    @property
    def own(self) -> InstanceEntry:
        """Entry of the instance itself."""
        return self._own

    def describe(
        self,
        *,
        status: Status | None = None,
        sequence: int | None = None,
        version: int | None = None,
        view_digest: int | None = None,
        configuration_digest: int | None = None,
    ) -> None:
        """Change the own entry; what is None stays.

        Raises
        ------
        InvariantError
            If the sequence or version would fall.
        """
        old = self._own
        own = attrs.evolve(
            old,
            status=old.status if status is None else status,
            sequence=_pick(sequence, old.sequence),
            version=_pick(version, old.version),
            view_digest=_pick(view_digest, old.view_digest),
            configuration_digest=_pick(configuration_digest, old.configuration_digest),
        )
        if own.sequence < old.sequence or own.version < old.version:
            raise InvariantError(
                f"configuration of {own.name} would fall from record "
                f"{old.sequence} to {own.sequence}"
            )
        if own != old:
            # Peers take over a row only if its counter is higher than theirs.
            self._own = attrs.evolve(own, heartbeat=own.heartbeat + 1)

    def tick(self, now: float) -> None:
        """Move the own counter and drop rows that are long dead."""
        self._own = attrs.evolve(self._own, heartbeat=self._own.heartbeat + 1)
        if self._rival is not None and self._is_dead(self._rival, now):
            self._outbid(self._rival.entry.incarnation)
        horizon = now - self._options.forget_ms
        self._rows = {n: row for n, row in self._rows.items() if row.moved > horizon}

    def reset(self, now: float) -> None:
        """Count every other instance as dead until it is heard of again.

        Parameters
        ----------
        now : float
            Current time in milliseconds, after a pause.
        """
        # The rows stay as dead ones so that incarnations never fall.
        expired = now - self._options.dead_ms
        self._rows = {
            name: attrs.evolve(row, moved=min(row.moved, expired))
            for name, row in self._rows.items()
        }

    def set_published(
        self, live: Iterable[Contact], leaving: Iterable[str] = ()
    ) -> None:
        """Take over the published list.

        Parameters
        ----------
        live : iterable of Contact
            Instances that are listed as live.
        leaving : iterable of str
            Names of instances that are listed as leaving.
        """
        self._listed = {contact.name: contact for contact in live}
        self._listed_leaving = {
            name: self._listed_leaving.get(name, self._find_incarnation(name))
            for name in leaving
        }

    def is_replaced(self, now: float) -> bool:
        """Whether a later start of the same instance runs."""
        return self._rival is not None and not self._is_dead(self._rival, now)

    def merge(self, rows: Iterable[IntroducedRow], now: float) -> None:
        """Take over rows that are newer than what is known.

        Parameters
        ----------
        rows : iterable of IntroducedRow
            Rows in any order.
        now : float
            Time in milliseconds at which their ages were counted, or later.
        """
        for row in rows:
            self._merge_row(Row(entry=row.entry, moved=now - max(row.age_ms, 0)), now)

    def digest(self, now: float) -> Gossip:
        """Return the question of an exchange: all rows that are not dead."""
        rows = sorted(self._select_all(now), key=lambda row: row.key)
        return Gossip(
            sender=self._own.name,
            rows=tuple(row.shorten(row.key, now) for row in rows),
            set_digest=hash_keys(row.key for row in rows),
            omits_keys=True,
        )

    def resolve(self, question: Gossip, now: float) -> Gossip | None:
        """Return a question with its keys, or None if the sender must give them.

        Parameters
        ----------
        question : Gossip
            What the peer sent.
        now : float
            Current time in milliseconds.
        """
        if not question.omits_keys:
            return question
        keys = sorted(row.key for row in self._select_all(now))
        is_same = question.set_digest == hash_keys(keys)
        if not is_same or len(keys) != len(question.rows):
            return None
        pairs = zip(question.rows, keys, strict=True)
        rows = tuple(row.rename(key) for row, key in pairs)
        return attrs.evolve(question, rows=rows, omits_keys=False)

    def answer(self, question: Gossip, now: float) -> Gossip:
        """Merge a question and return what its sender lacks.

        Parameters
        ----------
        question : Gossip
            What the peer sent, resolved.
        now : float
            Current time in milliseconds, read after the question arrived.
        """
        self.merge(question.introduced, now)
        unknown = self._merge_short(question.rows, now)
        places = {row.key: place for place, row in enumerate(question.rows)}
        known = self._select_all(now)
        # A sender whose clock stepped back before its start learns here that its
        # incarnation is not above the one that the others remember.
        ghost = self._rows.get(question.sender)
        if ghost is not None and self._is_dead(ghost, now):
            known.append(ghost)
        newer = [
            row.shorten(places[row.key], now)
            for row in known
            if row.key in places
            and row.entry.heartbeat > question.rows[places[row.key]].heartbeat
        ]
        missing = [row for row in known if row.key not in places]
        return Gossip(
            sender=self._own.name,
            rows=tuple(newer),
            introduced=tuple(row.introduce(now) for row in missing),
            unknown=unknown,
        )

    def accept(
        self, question: Gossip, answer: Gossip, sent_at: float, now: float
    ) -> Gossip | None:
        """Merge an answer and return the question that completes the exchange.

        Parameters
        ----------
        question : Gossip
            The question, with its keys.
        answer : Gossip
            What the peer answered.
        sent_at : float
            Time in milliseconds at which the question was sent. Ages count from
            here, because the answer was built after it.
        now : float
            Current time in milliseconds.

        Returns
        -------
        Gossip or None
            The question with its keys, or rows to introduce to the peer.

        Raises
        ------
        WireError
            If the answer refers to a row that the question does not have.
        """
        if answer.needs_keys:
            return attrs.evolve(question, omits_keys=False)
        if any(row.key >= len(question.rows) for row in answer.rows):
            raise WireError(f"answer of {answer.sender} refers to a missing row")
        self._merge_short(
            [r.rename(question.rows[r.key].key) for r in answer.rows],
            sent_at,
        )
        self.merge(answer.introduced, sent_at)
        wanted = set(answer.unknown)
        rows = [row for row in self._select_all(now) if row.key in wanted]
        if not rows:
            return None
        introduced = tuple(row.introduce(now) for row in rows)
        follow_up = attrs.evolve(self.digest(now), omits_keys=False)
        return attrs.evolve(follow_up, introduced=introduced)

    def view(self, now: float) -> View:
        """Return the live instances."""
        rows = self._select_live(now)
        entries = [row.entry for row in rows]
        if not self.is_replaced(now):
            entries.append(self._own)
        return View.build(e for e in entries if not self._is_leaving(e))

    def find(self, name: str) -> InstanceEntry | None:
        """Return the entry of another instance, live or dead, or None."""
        row = self._rows.get(name)
        return None if row is None else row.entry

    def suspects(self, now: float) -> tuple[str, ...]:
        """Return the names of instances in the view whose counter stands still."""
        limit = now - self._options.suspect_ms
        view = self.view(now)
        rows = (self._rows[name] for name in view.names if name in self._rows)
        return tuple(row.entry.name for row in rows if row.moved <= limit)

    def names_by_key(self) -> Mapping[int, str]:
        """Return the name that each key of a question stands for."""
        names = {row.key: name for name, row in self._rows.items()}
        return {**names, row_key(self._own.name, self._own.incarnation): self._own.name}

    def choose_partner(self, now: float, rng: random.Random) -> Contact | None:
        """Choose the instance of the next exchange.

        Most exchanges go to a live instance. The others go to suspect, dead, listed
        or seed instances, so that both sides of a healed partition and new instances
        find each other.

        Parameters
        ----------
        now : float
            Current time in milliseconds.
        rng : random.Random
            Source of the choice.

        Returns
        -------
        Contact or None
            None if no other instance is known.
        """
        live = {row.entry.name: row.contact for row in self._select_live(now)}
        known = {name: row.contact for name, row in self._rows.items()}
        others = {**self._seeds, **known, **self._listed}
        suspects = self.suspects(now)
        outside = {
            name: contact
            for name, contact in others.items()
            if (name not in live or name in suspects) and name != self._own.name
        }
        return choose_contact(
            live, outside, outsider_share=self._options.outsider_share, rng=rng
        )

    def _merge_row(self, row: Row, now: float) -> None:
        if row.entry.name == self._own.name:
            self._meet_rival(row, now)
            return
        known = self._rows.get(row.entry.name)
        if known is None:
            # A dead row stays unknown, or gossip would bring back what was forgotten.
            if not self._is_dead(row, now):
                self._rows[row.entry.name] = row
        elif row.order > known.order:
            self._rows[row.entry.name] = row
        elif row.order == known.order and row.moved < known.moved:
            self._rows[row.entry.name] = attrs.evolve(known, moved=row.moved)

    def _merge_short(self, rows: Iterable[GossipRow], now: float) -> tuple[int, ...]:
        own_key = row_key(self._own.name, self._own.incarnation)
        known = {row.key: row for row in self._rows.values()}
        unknown = []
        for short in rows:
            row = known.get(short.key)
            if row is not None and short.heartbeat >= row.entry.heartbeat:
                entry = short.state.apply(row.entry, short.heartbeat)
                moved = now - max(short.age_ms, 0)
                self._merge_row(Row(entry=entry, moved=moved), now)
            elif row is None and short.key == own_key:
                if short.heartbeat > self._own.heartbeat:
                    self._outbid(self._own.incarnation)
            elif row is None and short.age_ms < self._options.dead_ms:
                unknown.append(short.key)
        return tuple(unknown)

    def _meet_rival(self, row: Row, now: float) -> None:
        if row.entry.incarnation <= self._own.incarnation:
            return
        if self._is_dead(row, now):
            self._outbid(row.entry.incarnation)
        elif self._rival is None or row.order > self._rival.order:
            self._rival = row

    def _outbid(self, incarnation: int) -> None:
        # The clock of an earlier start was ahead; that start has stopped.
        self._rival = None
        self._own = attrs.evolve(
            self._own, incarnation=max(self._own.incarnation, incarnation + 1)
        )

    def _find_incarnation(self, name: str) -> int | None:
        if name == self._own.name:
            return self._own.incarnation
        row = self._rows.get(name)
        return None if row is None else row.entry.incarnation

    def _is_leaving(self, entry: InstanceEntry) -> bool:
        if entry.status is Status.LEAVING:
            return True
        if entry.name not in self._listed_leaving:
            return False
        # The list names no incarnation: it means the one known when it first said so,
        # not a replacement of the same name.
        limit = self._listed_leaving[entry.name]
        if limit is None:
            limit = self._listed_leaving[entry.name] = entry.incarnation
        return entry.incarnation <= limit

    def _is_dead(self, row: Row, now: float) -> bool:
        return now - row.moved >= self._options.dead_ms

    def _select_live(self, now: float) -> list[Row]:
        return [row for row in self._rows.values() if not self._is_dead(row, now)]

    def _select_all(self, now: float) -> list[Row]:
        return [self._own_row(now), *self._select_live(now)]

    def _own_row(self, now: float) -> Row:
        return Row(entry=self._own, moved=now)


def _pick(value: int | None, default: int) -> int:
    return default if value is None else value
