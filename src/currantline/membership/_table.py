"""Gossip table: which instances are live."""

import random
from collections.abc import Iterable, Mapping

import attrs

from currantline.exceptions import InvariantError, WireError
from currantline.membership._contact import Contact, choose_contact
from currantline.membership._entry import InstanceEntry, Status, View
from currantline.membership._gossip import (
    FullRow,
    Gossip,
    GossipRow,
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
        self._local = entry
        self._options = options or MembershipOptions()
        self._rows: dict[str, Row] = {}
        self._replacement: Row | None = None
        self._seeds = {seed.name: seed for seed in seeds}
        self._listed: dict[str, Contact] = {}
        # Incarnation that the published list named leaving; None if not yet known.
        self._listed_leaving: dict[str, int | None] = {}

    @property
    def local(self) -> InstanceEntry:
        """Entry of the instance itself."""
        return self._local

    def update_local(
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
        old = self._local
        local = attrs.evolve(
            old,
            status=old.status if status is None else status,
            sequence=_value_or(sequence, old.sequence),
            version=_value_or(version, old.version),
            view_digest=_value_or(view_digest, old.view_digest),
            configuration_digest=_value_or(
                configuration_digest, old.configuration_digest
            ),
        )
        if local.sequence < old.sequence or local.version < old.version:
            raise InvariantError(
                f"configuration of {local.name} would fall from record "
                f"{old.sequence} to {local.sequence}"
            )
        if local != old:
            # Peers take over a row only if its counter is higher than theirs.
            self._local = attrs.evolve(local, heartbeat=local.heartbeat + 1)

    def tick(self, now: float) -> None:
        """Move the own counter and drop rows that are long dead."""
        self._local = attrs.evolve(self._local, heartbeat=self._local.heartbeat + 1)
        if self._replacement is not None and self._is_dead(self._replacement, now):
            self._raise_incarnation(self._replacement.entry.incarnation)
        horizon = now - self._options.removal_ms
        self._rows = {
            n: row for n, row in self._rows.items() if row.updated_at > horizon
        }

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
            name: attrs.evolve(row, updated_at=min(row.updated_at, expired))
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
        return self._replacement is not None and not self._is_dead(
            self._replacement, now
        )

    def merge(self, rows: Iterable[FullRow], now: float) -> None:
        """Take over rows that are newer than what is known.

        Parameters
        ----------
        rows : iterable of FullRow
            Rows in any order.
        now : float
            Time in milliseconds at which their ages were counted, or later.
        """
        for row in rows:
            self._merge_row(
                Row(entry=row.entry, updated_at=now - max(row.age_ms, 0)), now
            )

    def build_request(self, now: float) -> Gossip:
        """Return the request of an exchange: all rows that are not dead."""
        rows = sorted(self._select_all(now), key=lambda row: row.key)
        return Gossip(
            sender=self._local.name,
            rows=tuple(row.build_gossip_row(row.key, now) for row in rows),
            set_digest=hash_keys(row.key for row in rows),
            omits_keys=True,
        )

    def restore_keys(self, request: Gossip, now: float) -> Gossip | None:
        """Return a request with its keys, or None if the sender must give them.

        Parameters
        ----------
        request : Gossip
            What the peer sent.
        now : float
            Current time in milliseconds.
        """
        if not request.omits_keys:
            return request
        keys = sorted(row.key for row in self._select_all(now))
        is_same = request.set_digest == hash_keys(keys)
        if not is_same or len(keys) != len(request.rows):
            return None
        pairs = zip(request.rows, keys, strict=True)
        rows = tuple(row.with_key(key) for row, key in pairs)
        return attrs.evolve(request, rows=rows, omits_keys=False)

    def build_response(self, request: Gossip, now: float) -> Gossip:
        """Merge a request and return what its sender lacks.

        Parameters
        ----------
        request : Gossip
            What the peer sent, resolved.
        now : float
            Current time in milliseconds, read after the request arrived.
        """
        self.merge(request.introduced, now)
        unknown = self._merge_gossip_rows(request.rows, now)
        positions = {row.key: position for position, row in enumerate(request.rows)}
        known = self._select_all(now)
        # A sender whose clock stepped back before its start learns here that its
        # incarnation is not above the one that the others remember.
        dead_sender = self._rows.get(request.sender)
        if dead_sender is not None and self._is_dead(dead_sender, now):
            known.append(dead_sender)
        newer = [
            row.build_gossip_row(positions[row.key], now)
            for row in known
            if row.key in positions
            and row.entry.heartbeat > request.rows[positions[row.key]].heartbeat
        ]
        missing = [row for row in known if row.key not in positions]
        return Gossip(
            sender=self._local.name,
            rows=tuple(newer),
            introduced=tuple(row.build_full_row(now) for row in missing),
            unknown=unknown,
        )

    def handle_response(
        self, request: Gossip, response: Gossip, sent_at: float, now: float
    ) -> Gossip | None:
        """Merge a response and return the request that completes the exchange.

        Parameters
        ----------
        request : Gossip
            The request, with its keys.
        response : Gossip
            What the peer answered.
        sent_at : float
            Time in milliseconds at which the request was sent. Ages count from
            here, because the response was built after it.
        now : float
            Current time in milliseconds.

        Returns
        -------
        Gossip or None
            The request with its keys, or rows to introduce to the peer.

        Raises
        ------
        WireError
            If the response refers to a row that the request does not have.
        """
        if response.needs_keys:
            return attrs.evolve(request, omits_keys=False)
        if any(row.key >= len(request.rows) for row in response.rows):
            raise WireError(f"response of {response.sender} refers to a missing row")
        self._merge_gossip_rows(
            [r.with_key(request.rows[r.key].key) for r in response.rows],
            sent_at,
        )
        self.merge(response.introduced, sent_at)
        wanted = set(response.unknown)
        rows = [row for row in self._select_all(now) if row.key in wanted]
        if not rows:
            return None
        introduced = tuple(row.build_full_row(now) for row in rows)
        follow_up = attrs.evolve(self.build_request(now), omits_keys=False)
        return attrs.evolve(follow_up, introduced=introduced)

    def view(self, now: float) -> View:
        """Return the live instances."""
        rows = self._select_live(now)
        entries = [row.entry for row in rows]
        if not self.is_replaced(now):
            entries.append(self._local)
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
        return tuple(row.entry.name for row in rows if row.updated_at <= limit)

    def names_by_key(self) -> Mapping[int, str]:
        """Return the name that each key of a request stands for."""
        names = {row.key: name for name, row in self._rows.items()}
        return {
            **names,
            row_key(self._local.name, self._local.incarnation): self._local.name,
        }

    def choose_peer(self, now: float, rng: random.Random) -> Contact | None:
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
            if (name not in live or name in suspects) and name != self._local.name
        }
        return choose_contact(
            live, outside, outside_view_ratio=self._options.outside_view_ratio, rng=rng
        )

    def _merge_row(self, row: Row, now: float) -> None:
        if row.entry.name == self._local.name:
            self._handle_replacement(row, now)
            return
        known = self._rows.get(row.entry.name)
        if known is None:
            # A dead row stays unknown, or gossip would bring back what was forgotten.
            if not self._is_dead(row, now):
                self._rows[row.entry.name] = row
        elif row.precedence > known.precedence:
            self._rows[row.entry.name] = row
        elif row.precedence == known.precedence and row.updated_at < known.updated_at:
            self._rows[row.entry.name] = attrs.evolve(known, updated_at=row.updated_at)

    def _merge_gossip_rows(
        self, rows: Iterable[GossipRow], now: float
    ) -> tuple[int, ...]:
        local_key = row_key(self._local.name, self._local.incarnation)
        known = {row.key: row for row in self._rows.values()}
        unknown = []
        for gossip_row in rows:
            row = known.get(gossip_row.key)
            if row is not None and gossip_row.heartbeat >= row.entry.heartbeat:
                entry = gossip_row.state.apply(row.entry, gossip_row.heartbeat)
                updated_at = now - max(gossip_row.age_ms, 0)
                self._merge_row(Row(entry=entry, updated_at=updated_at), now)
            elif row is None and gossip_row.key == local_key:
                if gossip_row.heartbeat > self._local.heartbeat:
                    self._raise_incarnation(self._local.incarnation)
            elif row is None and gossip_row.age_ms < self._options.dead_ms:
                unknown.append(gossip_row.key)
        return tuple(unknown)

    def _handle_replacement(self, row: Row, now: float) -> None:
        if row.entry.incarnation <= self._local.incarnation:
            return
        if self._is_dead(row, now):
            self._raise_incarnation(row.entry.incarnation)
        elif self._replacement is None or row.precedence > self._replacement.precedence:
            self._replacement = row

    def _raise_incarnation(self, incarnation: int) -> None:
        # The clock of an earlier start was ahead; that start has stopped.
        self._replacement = None
        self._local = attrs.evolve(
            self._local, incarnation=max(self._local.incarnation, incarnation + 1)
        )

    def _find_incarnation(self, name: str) -> int | None:
        if name == self._local.name:
            return self._local.incarnation
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
        return now - row.updated_at >= self._options.dead_ms

    def _select_live(self, now: float) -> list[Row]:
        return [row for row in self._rows.values() if not self._is_dead(row, now)]

    def _select_all(self, now: float) -> list[Row]:
        return [self._local_row(now), *self._select_live(now)]

    def _local_row(self, now: float) -> Row:
        return Row(entry=self._local, updated_at=now)


def _value_or(value: int | None, default: int) -> int:
    return default if value is None else value
