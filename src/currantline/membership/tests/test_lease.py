"""Tests of the majority lease."""

import functools
import heapq
import itertools
import random
from collections.abc import Callable

import attrs
import pytest

from currantline.membership import (
    Gossip,
    MembershipOptions,
    Status,
    View,
    ViewLease,
    combine_digest,
)
from currantline.membership.tests.test_table import make_entry

# Simulated clocks do not drift, so a lease without a margin must be exclusive.
OPTIONS = MembershipOptions(lease_margin_ms=0.0)
NAMES = ("a", "b", "c", "d", "e")
ALL_NAMES = frozenset(NAMES)


@attrs.define
class Node:
    """One instance with its own clock offset."""

    lease: ViewLease
    offset: float
    digest: int = 0
    start: int = 0
    paused_until: float = 0.0


class Network:
    """Instances whose messages are delayed, lost or held back by pauses.

    Parameters
    ----------
    seed : int
        Seed of the random number generator.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = itertools.count()
        self.side = dict.fromkeys(NAMES, 0)
        self.nodes: dict[str, Node] = {}
        self.held: set[int] = set()
        for name in NAMES:
            self.start(name)
        self.after(0, self.inject_fault)
        for name in NAMES:
            self.after(0, functools.partial(self.send_request, name))

    def start(self, name: str) -> None:
        """Start or restart an instance."""
        offset = self.rng.uniform(0, 1e6)
        lease = ViewLease(name, started_at=self.now + offset, options=OPTIONS)
        lease.set_digest(self.side[name] + 1)
        old = self.nodes.get(name)
        start = 0 if old is None else old.start + 1
        self.nodes[name] = Node(lease=lease, offset=offset, start=start)

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (self.now + delay_ms, next(self.count), action))

    def send_request(self, name: str) -> None:
        """Send a request from an instance to a random peer."""
        self.after(self.rng.uniform(50, 300), lambda: self.send_request(name))
        node, other = self.nodes[name], self.rng.choice(NAMES)
        if self.now < node.paused_until or other == name:
            return
        sent_at, start = self.now + node.offset, node.start
        self.after(
            self.delay(), lambda: self.send_response(other, name, sent_at, start)
        )

    def send_response(
        self, name: str, requester: str, sent_at: float, start: int
    ) -> None:
        """Send a response, after the pause if the instance is paused."""
        node = self.nodes[name]
        if self.now < node.paused_until:
            wait = node.paused_until - self.now
            self.after(
                wait, lambda: self.send_response(name, requester, sent_at, start)
            )
            return
        proofs = node.lease.build_proofs(NAMES, self.now + node.offset)
        digest = node.lease.digest
        response = Gossip(sender=name, lease_digest=digest, proofs=proofs)
        if self.rng.random() < 0.9:
            self.after(
                self.delay(),
                lambda: self.handle_response(requester, response, sent_at, start),
            )

    def handle_response(
        self, name: str, response: Gossip, sent_at: float, start: int
    ) -> None:
        """Merge a response unless the instance was restarted."""
        node = self.nodes[name]
        if self.now < node.paused_until:
            wait = node.paused_until - self.now
            self.after(
                wait, lambda: self.handle_response(name, response, sent_at, start)
            )
        elif node.start == start:
            node.lease.merge_proofs(response, NAMES, sent_at=sent_at)

    def delay(self) -> float:
        """Return a one-way delay; 5 % of messages are delayed by 0.5 s or more."""
        late = self.rng.random() < 0.05
        return self.rng.uniform(500, 4000) if late else self.rng.uniform(0, 5)

    def inject_fault(self) -> None:
        """Change views, restart or pause instances."""
        self.after(self.rng.uniform(200, 4000), self.inject_fault)
        kind = self.rng.choice(("view", "view", "restart", "pause"))
        name = self.rng.choice(NAMES)
        if kind == "restart":
            self.start(name)
        elif kind == "pause":
            node = self.nodes[name]
            node.paused_until = self.now + self.rng.uniform(100, 6000)
        else:
            for each in self.rng.sample(NAMES, self.rng.randint(1, len(NAMES))):
                self.side[each] = self.rng.choice((0, 1))
                self.nodes[each].lease.set_digest(self.side[each] + 1)

    def run(self, duration_ms: float) -> None:
        """Run events and check after each that at most one digest is held."""
        while self.events[0][0] < duration_ms:
            self.now, _, action = heapq.heappop(self.events)
            action()
            held = {
                node.lease.digest
                for node in self.nodes.values()
                if node.lease.holds(ALL_NAMES, ALL_NAMES, self.now + node.offset)
            }
            assert len(held) <= 1
            self.held |= held


class TestViewLease:
    """The majority lease."""

    @pytest.mark.parametrize("seed", range(12))
    def test_exclusive(self, seed: int) -> None:
        """Guards against two views that hold the lease at the same time."""
        network = Network(seed)
        network.run(120_000)
        # The check is meaningful only if each digest was held at some time.
        assert network.held == {1, 2}

    def test_age_counts_from_sending(self) -> None:
        """Guards against a delayed response that extends an acknowledgement."""
        lease = ViewLease("a", started_at=-9000, options=OPTIONS)
        lease.set_digest(1)
        response = Gossip(sender="b", lease_digest=1, proofs=(500.0, 0.0))
        lease.merge_proofs(response, ["c", "b"], sent_at=1000)
        assert lease.acknowledged_at == {"c": 500, "b": 1000}
        known = frozenset("abc")
        assert lease.holds(known, known, 2999)
        assert not lease.holds(known, known, 3000)

    def test_waits_between_digests(self) -> None:
        """Guards against an instance that acknowledges two views at the same time."""
        lease = ViewLease("a", started_at=0, options=OPTIONS)
        lease.set_digest(1)
        assert lease.acknowledge(1999) == 0
        assert lease.acknowledge(2000) == 1
        lease.set_digest(2)
        assert lease.acknowledge(3999) == 0
        lease.set_digest(1)
        assert lease.acknowledge(3999) == 1
        lease.set_digest(2)
        assert lease.acknowledge(5998) == 0
        assert lease.acknowledge(5999) == 2

    def test_half_is_no_majority(self) -> None:
        """Guards against two halves of a fleet that both hold a lease."""
        lease = ViewLease("a", started_at=-2000, options=OPTIONS)
        lease.set_digest(1)
        assert lease.acknowledge(0) == 1
        lease.merge_proofs(
            Gossip(sender="b", lease_digest=1, proofs=(0.0,)), ["b"], sent_at=0
        )
        known = frozenset("abcd")
        assert not lease.holds(known, known, 0)
        assert lease.holds(frozenset("abc"), known, 0)
        # An instance not listed for long enough counts as a member but has no vote.
        assert not lease.holds(frozenset("abc"), frozenset("a"), 0)

    def test_digest_covers_owners(self) -> None:
        """Guards against instances that agree on a digest but not on the owners."""
        entry = make_entry("a")
        starting = attrs.evolve(entry, status=Status.STARTING)
        digests = {
            combine_digest(View.build([entry]), 1),
            combine_digest(View.build([starting]), 1),
            combine_digest(View.build([entry]), 2),
        }
        assert len(digests) == 3
