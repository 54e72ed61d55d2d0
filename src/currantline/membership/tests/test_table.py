"""Tests of the gossip table."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from currantline.membership import (
    Contact,
    FullRow,
    Gossip,
    GossipTable,
    InstanceEntry,
    MembershipOptions,
    Status,
)

OPTIONS = MembershipOptions()
NAMES = ("a", "b", "c", "d")
# One exchange in 8, or one every 2 s, is with an instance outside the view, so each
# instance has 20 of them in this time.
CONVERGENCE_MS = 40_000.0


def make_entry(name: str, incarnation: int = 1, heartbeat: int = 0) -> InstanceEntry:
    """Return an entry with placeholder addresses."""
    port = 7000 + NAMES.index(name)
    return InstanceEntry(
        name=name,
        data_centre="north",
        caller_address=f"127.0.0.1:{port}",
        peer_address=f"127.0.0.1:{port + 100}",
        incarnation=incarnation,
        heartbeat=heartbeat,
        status=Status.READY,
    )


def make_contact(name: str) -> Contact:
    """Return the contact of an instance."""
    return Contact(name=name, peer_address=make_entry(name).peer_address)


def exchange(sender: GossipTable, receiver: GossipTable, now: float) -> None:
    """Run one complete exchange without delay."""
    request: Gossip | None = sender.build_request(now)
    while request is not None:
        restored = receiver.restore_keys(request, now)
        if restored is None:
            response = Gossip(sender=receiver.local.name, needs_keys=True)
        else:
            response = receiver.build_response(restored, now)
        request = sender.handle_response(request, response, now, now)


class Fleet(RuleBasedStateMachine):
    """Gossip tables under partitions, kills, restarts and pauses."""

    def __init__(self) -> None:
        super().__init__()
        self.rng = random.Random(7)
        self.now = 0.0
        self.side = dict.fromkeys(NAMES, 0)
        self.paused: set[str] = set()
        self.ticked: dict[tuple[str, int], float] = {}
        # By process, not by `id` of its table, which a later table may reuse.
        self.seen: dict[tuple[int, str], int] = {}
        self.starts = 0
        self.processes: dict[str, int] = {}
        self.tables: dict[str, GossipTable] = {}
        for name in NAMES:
            self.start(name, 1)

    def start(self, name: str, incarnation: int) -> None:
        """Start a process."""
        table = GossipTable(make_entry(name, incarnation))
        table.set_published(make_contact(other) for other in NAMES)
        self.tables[name] = table
        self.starts += 1
        self.processes[name] = self.starts
        self.paused.discard(name)

    @rule(rounds=st.integers(1, 16))
    def run_rounds(self, rounds: int) -> None:
        """Run a number of gossip intervals on each running instance."""
        for _ in range(rounds):
            self.now += OPTIONS.gossip_interval_ms
            for name in sorted(self.tables.keys() - self.paused):
                self.step(name)
            self.check_views()

    def step(self, name: str) -> None:
        """Tick one instance and run one exchange."""
        table = self.tables[name]
        table.tick(self.now)
        self.ticked[name, table.local.incarnation] = self.now
        peer = table.choose_peer(self.now, self.rng)
        if peer is None or peer.name not in self.tables:
            return
        if peer.name in self.paused or self.side[name] != self.side[peer.name]:
            return
        exchange(table, self.tables[peer.name], self.now)
        for each in (name, peer.name):
            local = self.tables[each].local
            self.ticked.setdefault((each, local.incarnation), self.now)

    @rule(sides=st.tuples(*[st.integers(0, 1)] * len(NAMES)))
    def split(self, sides: tuple[int, ...]) -> None:
        """Partition the fleet."""
        self.side = dict(zip(NAMES, sides, strict=True))

    @rule(name=st.sampled_from(NAMES))
    def kill(self, name: str) -> None:
        """Kill a process; it does not leave first."""
        self.tables.pop(name, None)
        self.paused.discard(name)

    @rule(name=st.sampled_from(NAMES), step=st.integers(-9000, 9000))
    def restart(self, name: str, step: int) -> None:
        """Replace a process; the wall clock may have stepped forwards or backwards."""
        self.start(name, max(1, int(self.now) + step))

    @rule(name=st.sampled_from(NAMES))
    def pause(self, name: str) -> None:
        """Pause a process, which keeps its state."""
        if name in self.tables:
            self.paused.add(name)

    @rule()
    def resume(self) -> None:
        """Resume paused processes."""
        for name in self.paused:
            self.tables[name].reset(self.now)
        self.paused.clear()

    @rule()
    def converge(self) -> None:
        """Clear all faults and require equal views after `CONVERGENCE_MS`."""
        self.side = dict.fromkeys(NAMES, 0)
        self.resume()
        self.run_rounds(int(CONVERGENCE_MS / OPTIONS.gossip_interval_ms))
        expected = tuple(sorted(self.tables))
        for table in self.running():
            assert table.view(self.now).names == expected
        assert len({table.view(self.now).digest for table in self.running()}) <= 1

    def running(self) -> list[GossipTable]:
        """Return the tables of running processes."""
        return [t for name, t in self.tables.items() if name not in self.paused]

    @invariant()
    def check_views(self) -> None:
        """Check that no view has dead instances and incarnations never decrease."""
        for table in self.running():
            for entry in table.view(self.now).instances:
                silent_ms = self.now - self.ticked.get(
                    (entry.name, entry.incarnation), self.now
                )
                assert silent_ms < OPTIONS.dead_ms or entry == table.local
            for name in NAMES:
                known = table.local if name == table.local.name else table.find(name)
                if known is not None:
                    key = (self.processes[table.local.name], name)
                    assert known.incarnation >= self.seen.get(key, 0)
                    self.seen[key] = known.incarnation


class TestFleet:
    """Several tables that exchange gossip."""

    def test_fleet(self) -> None:
        """Guards against views that keep dead instances, regress or do not converge."""
        run_state_machine_as_test(
            Fleet,
            settings=settings(
                derandomize=True,
                deadline=None,
                max_examples=20,
                stateful_step_count=20,
                database=None,
            ),
        )


class TestGossipTable:
    """Single tables and pairs of them."""

    def test_relayed_death(self) -> None:
        """Guards against a dead instance kept live by repeated relaying of its row."""
        tables = [GossipTable(make_entry(name)) for name in ("a", "b", "c")]
        row = FullRow(entry=make_entry("d"), age_ms=0)
        tables[0].merge([row], 0)
        exchange(tables[1], tables[0], 2000)
        exchange(tables[2], tables[1], 2400)
        assert all("d" in table.view(2400).names for table in tables)
        assert not any("d" in table.view(2500).names for table in tables)
        exchange(tables[0], tables[1], 2600)
        assert "d" not in tables[0].view(2600).names

    def test_relayed_short_row(self) -> None:
        """Guards against losing the age of a relayed row that is sent by its key."""
        first, second = GossipTable(make_entry("a")), GossipTable(make_entry("b"))
        exchange(first, second, 0)
        for table in (first, second):
            table.merge([FullRow(entry=make_entry("d"), age_ms=0)], 0)
        second.merge([FullRow(entry=make_entry("d", heartbeat=1), age_ms=0)], 0)
        exchange(first, second, 2000)
        known = first.find("d")
        assert known is not None
        assert known.heartbeat == 1
        assert "d" in first.view(2499).names
        assert "d" not in first.view(2500).names

    def test_removed_row_not_restored(self) -> None:
        """Guards against a removed row restored by a peer that removes it later."""
        table = GossipTable(make_entry("a"))
        table.merge([FullRow(entry=make_entry("b", heartbeat=9), age_ms=0)], 0)
        table.tick(OPTIONS.removal_ms)
        assert table.find("b") is None
        row = FullRow(entry=make_entry("b", heartbeat=9), age_ms=2500)
        table.merge([row], OPTIONS.removal_ms)
        assert table.find("b") is None

    def test_leaving_by_gossip(self) -> None:
        """Guards against a leaving instance that stays in the view until it is dead."""
        first, second = GossipTable(make_entry("a")), GossipTable(make_entry("b"))
        exchange(first, second, 0)
        assert first.view(0).names == ("a", "b")
        second.update_local(status=Status.LEAVING)
        exchange(first, second, 1)
        assert first.view(1).names == ("a",)
        assert second.view(1).names == ("a",)

    def test_leaving_by_list(self) -> None:
        """Guards against a replacement excluded because its predecessor is leaving."""
        table = GossipTable(make_entry("a"))
        table.merge([FullRow(entry=make_entry("b", 1), age_ms=0)], 0)
        table.set_published([], leaving=["b"])
        assert table.view(0).names == ("a",)
        table.merge([FullRow(entry=make_entry("b", 2), age_ms=0)], 0)
        table.set_published([], leaving=["b"])
        assert table.view(0).names == ("a", "b")

    def test_replaced(self) -> None:
        """Guards against a replaced process that stays active with its successor."""
        table = GossipTable(make_entry("a", 5))
        table.merge([FullRow(entry=make_entry("a", 6), age_ms=0)], 0)
        assert table.is_replaced(0)
        assert table.view(0).names == ()
        table.tick(2500)
        assert not table.is_replaced(2500)
        assert table.local.incarnation == 7

    def test_suspect(self) -> None:
        """Guards against a suspect that leaves the view before it is dead."""
        table = GossipTable(make_entry("a"))
        table.merge([FullRow(entry=make_entry("b"), age_ms=0)], 0)
        assert table.suspects(1499) == ()
        assert table.suspects(1500) == ("b",)
        assert table.view(2499).names == ("a", "b")
        assert table.view(2500).names == ("a",)
