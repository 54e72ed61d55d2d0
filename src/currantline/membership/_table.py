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
    """State of all instances as known to one instance.

    Parameters
    ----------
    entry : InstanceEntry
        Entry of the local instance.
    options : MembershipOptions, optional
        Intervals, timeouts and ratios.
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
        # Incarnation that the published list marks as leaving; None if not yet known.
        self._listed_leaving: dict[str, int | None] = {}

    @property
    def local(self) -> InstanceEntry:
        """Entry of the local instance."""
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
        """Update the local entry; arguments that are None leave their field unchanged.

        Raises
        ------
        InvariantError
            If the sequence or version would decrease.
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
                f"configuration of {local.name} would decrease from record "
                f"{old.sequence} to {local.sequence}"
            )
        if local != old:
            # Peers accept a row only if its heartbeat is higher than the one they know.
            self._local = attrs.evolve(local, heartbeat=local.heartbeat + 1)

    def tick(self, now: float) -> None:
        """Increment the local heartbeat and remove rows older than `removal_ms`."""
        self._local = attrs.evolve(self._local, heartbeat=self._local.heartbeat + 1)
        if self._replacement is not None and self._is_dead(self._replacement, now):
            self._raise_incarnation(self._replacement.entry.incarnation)
        cutoff = now - self._options.removal_ms
        self._rows = {
            n: row for n, row in self._rows.items() if row.updated_at > cutoff
        }

    def reset(self, now: float) -> None:
        """Treat every other instance as dead until its row is updated again.

        Parameters
        ----------
        now : float
            Current time in milliseconds, after a pause.
        """
        # Rows are kept as dead so that known incarnations never decrease.
        expired = now - self._options.dead_ms
        self._rows = {
            name: attrs.evolve(row, updated_at=min(row.updated_at, expired))
            for name, row in self._rows.items()
        }

    def set_published(
        self, live: Iterable[Contact], leaving: Iterable[str] = ()
    ) -> None:
        """Replace the contents of the published list.

        Parameters
        ----------
        live : iterable of Contact
            Instances listed as live.
        leaving : iterable of str
            Names of instances listed as leaving.
        """
        self._listed = {contact.name: contact for contact in live}
        self._listed_leaving = {
            name: self._listed_leaving.get(name, self._find_incarnation(name))
            for name in leaving
        }

    def is_replaced(self, now: float) -> bool:
        """Return whether a newer incarnation of the local instance is live."""
        return self._replacement is not None and not self._is_dead(
            self._replacement, now
        )

    def merge(self, rows: Iterable[FullRow], now: float) -> None:
        """Merge rows that are newer than the known ones.

        Parameters
        ----------
        rows : iterable of FullRow
            Rows in any order.
        now : float
            Time in milliseconds at which the ages were computed, or later.
        """
        for row in rows:
            self._merge_row(
                Row(entry=row.entry, updated_at=now - max(row.age_ms, 0)), now
            )

    def build_request(self, now: float) -> Gossip:
        """Return the first request of an exchange, with all rows that are not dead."""
        rows = sorted(self._select_all(now), key=lambda row: row.key)
        return Gossip(
            sender=self._local.name,
            rows=tuple(row.build_gossip_row(row.key, now) for row in rows),
            set_digest=hash_keys(row.key for row in rows),
            omits_keys=True,
        )

    def restore_keys(self, request: Gossip, now: float) -> Gossip | None:
        """Return a request with its keys, or None if the sender must resend with keys.

        Parameters
        ----------
        request : Gossip
            Request received from the peer.
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
        """Merge a request and return the rows that its sender lacks.

        Parameters
        ----------
        request : Gossip
            Request received from the peer, with its keys.
        now : float
            Current time in milliseconds, read after the request was received.
        """
        self.merge(request.introduced, now)
        unknown = self._merge_gossip_rows(request.rows, now)
        positions = {row.key: position for position, row in enumerate(request.rows)}
        known = self._select_all(now)
        # Tells a sender whose clock stepped back before it started that its incarnation
        # is not higher than the one that its peers know.
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
            Response of the peer.
        sent_at : float
            Time in milliseconds at which the request was sent. Ages are relative to
            it, because the response was built later.
        now : float
            Current time in milliseconds.

        Returns
        -------
        Gossip or None
            The request with its keys, or one with the rows unknown to the peer;
            None if the exchange is complete.

        Raises
        ------
        WireError
            If the response refers to a row that is not in the request.
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
        """Return the names of instances in the view without a recent heartbeat."""
        limit = now - self._options.suspect_ms
        view = self.view(now)
        rows = (self._rows[name] for name in view.names if name in self._rows)
        return tuple(row.entry.name for row in rows if row.updated_at <= limit)

    def names_by_key(self) -> Mapping[int, str]:
        """Return the instance name for each row key."""
        names = {row.key: name for name, row in self._rows.items()}
        return {
            **names,
            row_key(self._local.name, self._local.incarnation): self._local.name,
        }

    def choose_peer(self, now: float, rng: random.Random) -> Contact | None:
        """Choose the peer for the next exchange.

        Most exchanges are with a live instance. The rest are with suspect, dead, listed
        or seed instances, so that new instances and both sides of a healed partition
        discover each other.

        Parameters
        ----------
        now : float
            Current time in milliseconds.
        rng : random.Random
            Source of randomness.

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
            # A dead row is not added, or gossip would restore rows that were removed.
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
        # An earlier process of this instance, now stopped, had a clock that was ahead.
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
        # The list has no incarnations: an entry applies to the incarnation known when
        # it was first marked as leaving, not to a replacement of the same name.
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
