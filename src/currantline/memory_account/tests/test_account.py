"""Tests of the memory account."""

from collections.abc import Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from currantline.memory_account import (
    CONNECTION_BYTES,
    EvictionReason,
    Holder,
    Kind,
    MemoryAccount,
    Port,
    find_connection_limits,
    find_head_bytes,
    find_max_bytes,
)

MAX_BYTES = 1_000_000
LARGE = 100_000


class Fixture:
    """An account with one port, and the connections that it evicts."""

    def __init__(self, max_connections: int | None = None) -> None:
        self.account = MemoryAccount(MAX_BYTES)
        self.port = self.account.add_port("p", max_connections)
        self.evicted: list[tuple[str, EvictionReason]] = []

    def open(self, name: str, now: float = 0.0) -> Holder:
        """Open a connection, which must be admitted."""
        holder = self.try_open(name, now)
        assert holder is not None
        return holder

    def try_open(self, name: str, now: float = 0.0) -> Holder | None:
        """Open a connection."""
        return self.account.open(
            self.port, lambda reason: self.evicted.append((name, reason)), now
        )

    def open_with(self, name: str, size: int, now: float = 0.0) -> Holder:
        """Open a connection that holds part of a body."""
        holder = self.open(name, now)
        assert self.account.add(holder, Kind.BODY, size, now)
        return holder


@pytest.fixture
def fixture() -> Iterator[Fixture]:
    """Return an account whose sums are right at the end."""
    fixture = Fixture()
    yield fixture
    assert fixture.account.total_bytes == sum(fixture.port.held.values())


class TestEviction:
    """Which connection is closed for another one."""

    def test_longest_without_progress(self, fixture: Fixture) -> None:
        """Guards against the loss of a connection that makes progress."""
        old = fixture.open_with("old", 6 * LARGE)
        fixture.open_with("older", LARGE)
        fixture.account.record_transfer(old, 1024, 3_000.0)
        fixture.open_with("new", 3 * LARGE, 5_000.0)
        assert [name for name, _ in fixture.evicted] == ["older"]

    def test_largest_of_equal_age(self, fixture: Fixture) -> None:
        """Guards against many small evictions where a single one is enough."""
        for name, size in (("a", 2), ("b", 5), ("c", 1)):
            fixture.open_with(name, size * LARGE)
        fixture.open_with("d", 2 * LARGE, 2_000.0)
        assert fixture.evicted == [("b", EvictionReason.MEMORY)]

    def test_single_bytes(self, fixture: Fixture) -> None:
        """Guards against senders of single bytes that count as making progress."""
        slow = fixture.open_with("slow", 4 * LARGE)
        steady = fixture.open_with("steady", 4 * LARGE)
        for second in range(1, 6):
            fixture.account.record_transfer(slow, 1, 1000.0 * second)
            fixture.account.record_transfer(steady, 2_000, 1000.0 * second)
        fixture.open_with("new", 2 * LARGE, 5_500.0)
        assert [name for name, _ in fixture.evicted] == ["slow"]

    def test_all_in_progress(self, fixture: Fixture) -> None:
        """Guards against small requests that find no room among large ones."""
        for name in "abc":
            holder = fixture.open_with(name, 3 * LARGE)
            fixture.account.begin_request(holder, 0.0)
        large, small = fixture.open("large", 9_000.0), fixture.open("small", 9_000.0)
        assert not fixture.account.add(large, Kind.HEAD, 3 * LARGE, 9_000.0)
        assert fixture.evicted == []
        assert fixture.account.add(small, Kind.HEAD, LARGE, 9_000.0)
        assert len(fixture.evicted) == 1

    def test_idle_after_stalled(self, fixture: Fixture) -> None:
        """Guards against idle connections closed although another one holds much."""
        fixture.open("idle")
        fixture.open_with("stalled", 5 * LARGE, 1_000.0)
        fixture.open_with("new", 5 * LARGE, 4_000.0)
        assert [name for name, _ in fixture.evicted] == ["stalled"]

    def test_lingering_first(self, fixture: Fixture) -> None:
        """Guards against refused connections that keep others out."""
        refused = fixture.open_with("refused", LARGE, 5_000.0)
        fixture.open_with("stalled", 7 * LARGE)
        fixture.account.linger(refused, 5_000.0)
        fixture.open_with("new", 2 * LARGE, 5_000.0)
        assert [name for name, _ in fixture.evicted] == ["refused"]

    def test_pending_evictions(self, fixture: Fixture) -> None:
        """Guards against memory given away again before it is free."""
        for name in "abcdefgh":
            fixture.open_with(name, LARGE)
        evicted = fixture.open_with("new", 3 * LARGE, 2_000.0)
        assert len(fixture.evicted) == 3
        assert not fixture.account.add(evicted, Kind.BODY, 3 * LARGE, 2_000.0)


class TestRequests:
    """Memory of requests."""

    def test_outlives_connection(self, fixture: Fixture) -> None:
        """Guards against a request counted as free while a target is sent it."""
        holder = fixture.open_with("a", LARGE)
        assert fixture.account.add(holder, Kind.UNREAD, LARGE, 0.0)
        fixture.account.close(holder)
        assert fixture.account.total_bytes == LARGE
        fixture.account.release(holder, Kind.UNREAD, LARGE)
        fixture.account.release(holder, Kind.BODY, LARGE)
        assert fixture.account.total_bytes == 0

    def test_refused_addition(self, fixture: Fixture) -> None:
        """Guards against memory that stays counted after a refusal."""
        holder = fixture.open("a")
        assert not fixture.account.add(holder, Kind.BODY, MAX_BYTES, 0.0)
        assert fixture.account.total_bytes == CONNECTION_BYTES


class TestConnections:
    """Numbers of connections."""

    def test_idle_is_closed(self) -> None:
        """Guards against idle connections that keep new callers out."""
        fixture = Fixture(max_connections=2)
        busy = fixture.open("busy")
        fixture.account.begin_request(busy, 0.0)
        fixture.open("idle", 1_000.0)
        fixture.open("new", 1_000.0)
        assert fixture.evicted == [("idle", EvictionReason.CONNECTIONS)]
        assert fixture.port.connections == 2

    @pytest.mark.parametrize("is_lingering", [False, True])
    def test_answer_under_way(self, is_lingering: bool) -> None:
        """Guards against an idle connection that is kept in place of an answer."""
        fixture = Fixture(max_connections=2)
        reader = fixture.open("reader")
        fixture.account.set(reader, Kind.UNWRITTEN, 100, 0.0)
        if is_lingering:
            fixture.account.linger(reader, 0.0)
        fixture.open("idle", 1_000.0)
        fixture.open("new", 2_000.0)
        assert fixture.evicted == [("idle", EvictionReason.CONNECTIONS)]
        fixture.account.set(reader, Kind.UNWRITTEN, 0, 2_000.0)
        fixture.open("next", 2_000.0)
        assert fixture.evicted[1:] == [("reader", EvictionReason.CONNECTIONS)]

    def test_all_busy(self) -> None:
        """Guards against slow requests that keep new callers out."""
        fixture = Fixture(max_connections=2)
        for name in "ab":
            fixture.account.begin_request(fixture.open(name), 0.0)
        assert fixture.try_open("early", 100.0) is None
        assert fixture.try_open("late", 1_000.0) is not None
        assert [name for name, _ in fixture.evicted] == ["a"]


class TestFreedMemory:
    """Notice that much memory has been released."""

    def test_ordinary_load(self) -> None:
        """Guards against work for the allocator under ordinary load."""
        account, freed = MemoryAccount(100_000_000), []
        account.on_freed = lambda: freed.append(1)
        port = account.add_port("p")
        for _ in range(1_000):
            account.add_unowned(port, Kind.BODY, LARGE, 0.0)
            account.add_unowned(port, Kind.BODY, -LARGE, 0.0)
        assert freed == []
        account.add_unowned(port, Kind.BODY, 60_000_000, 0.0)
        account.add_unowned(port, Kind.BODY, -60_000_000, 0.0)
        assert freed == [1]


class TestLimits:
    """Limits that follow from the machine."""

    @pytest.mark.parametrize("descriptors", [250, 560, 4_100, 8_192, 10_250])
    def test_descriptors(self, descriptors: int) -> None:
        """Guards against ports that together may use up the descriptors."""
        limits = find_connection_limits(descriptors)
        own = limits.directory + 2 * limits.peers + 2 * limits.endpoints
        free = max(descriptors - 200, descriptors // 2)
        assert limits.callers + own <= 0.65 * free
        assert limits.callers >= 25

    def test_legal_requests(self) -> None:
        """Guards against a request inside the limits that no instance can serve."""
        smallest = find_max_bytes(200_000_000)
        assert smallest > 64 * 1024 * 1024 + find_head_bytes(16_384, 4_096)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 7), st.integers(0, 60))))
def test_sums(steps: list[tuple[int, int, int]]) -> None:
    """Guards against sums and queues that differ from what the holders hold."""
    fixture, now = Fixture(max_connections=5), 0.0
    account, holders = fixture.account, list[Holder]()
    for action, index, size in steps:
        now += 100.0
        holder = holders[index % len(holders)] if holders else None
        if action == 0 or holder is None:
            opened = fixture.try_open("x", now)
            holders += [opened] if opened is not None else []
        elif action == 1:
            account.add(holder, Kind.BODY, size * 10_000, now)
        elif action == 2:
            account.set(holder, Kind.UNREAD, size * 10_000, now)
        elif action == 3:
            account.close(holder)
        elif action == 4:
            account.begin_request(holder, now)
        else:
            account.linger(holder, now)
        _check(account, fixture.port, holders)


def _check(account: MemoryAccount, port: Port, holders: list[Holder]) -> None:
    total = sum(sum(holder.held.values()) for holder in holders)
    assert account.total_bytes == sum(port.held.values())
    assert account.total_bytes == sum(holder.total for holder in holders)
    assert sum(holder.total for holder in holders) == total
    evicted = sum(holder.total for holder in holders if holder.is_evicted)
    assert account.total_bytes - min(evicted, MAX_BYTES // 4) <= MAX_BYTES
    assert port.connections <= 5
