"""Tests of the history of evaluated records."""

import json
from typing import Any

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from currantline.configuration import (
    RELEASE_SCHEMA,
    Accepted,
    History,
    Reason,
    Record,
    Refused,
    Schema,
    read_record,
    render_record,
)

INSTANCES = 4
TAIL_RECORDS = 3
instance_numbers = st.integers(0, INSTANCES - 1)


def make_patch(sequence: int, base: int, size: int = 40, **fields: Any) -> Record:
    """Return a patch that sets ``max_instances``."""
    body = [{"set": "max_instances", "value": size}]
    return Record(
        sequence=sequence, kind="patch", base_version=base, body=body, **fields
    )


def make_snapshot(sequence: int = 1, version: int = 1) -> Record:
    """Return a snapshot without services."""
    return Record(sequence=sequence, kind="snapshot", body={"version": version})


def make_log(length: int) -> list[Record]:
    """Return a snapshot followed by patches."""
    patches = [make_patch(n, n - 1, size=n) for n in range(2, length + 1)]
    return [make_snapshot(), *patches]


def round_trip(records: list[Record]) -> list[Record]:
    """Return records after encoding and decoding them as JSON."""
    texts = [json.dumps(render_record(record)) for record in records]
    return [read_record(json.loads(text)) for text in texts]


class TestHistory:
    """History of one instance."""

    def test_two_patches(self) -> None:
        """Guards against two patches with the same base version both taking effect."""
        history = History()
        history.apply(make_snapshot(), 0.0)
        assert isinstance(history.apply(make_patch(2, 1, size=5), 1.0), Accepted)
        verdict = history.apply(make_patch(3, 1, size=6), 2.0)
        assert isinstance(verdict, Refused)
        assert verdict.reason is Reason.STALE_BASE_VERSION
        assert history.in_force is not None
        assert history.in_force.max_instances == 5
        assert (history.state.sequence, history.state.version) == (3, 2)
        assert history.changed_at == 1.0

    def test_gap(self) -> None:
        """Guards against a record that is evaluated before its predecessor."""
        history = History()
        assert history.apply(make_snapshot(sequence=2), 0.0) is None
        assert (history.state.sequence, history.counts.early) == (0, 1)

    def test_compaction(self) -> None:
        """Guards against a peer that cannot catch up once records are discarded."""
        history = History(tail_records=TAIL_RECORDS)
        for record in make_log(9):
            history.apply(record, 0.0)
        assert [r.sequence for r in history.records_after(6)] == [7, 8, 9]
        assert [r.kind for r in history.records_after(5)] == ["state"]
        assert history.records_after(9) == []
        for start in range(10):
            peer = History()
            peer.catch_up(make_log(9)[:start], 0.0)
            peer.catch_up(round_trip(history.records_after(start)), 0.0)
            assert peer.state == history.state
            third = History()
            third.catch_up(peer.records_after(0), 0.0)
            assert third.state == history.state

    def test_bounded_bytes(self) -> None:
        """Guards against unbounded memory use by large records."""
        history = History(tail_bytes=500)
        for record in make_log(9):
            history.apply(record, 0.0)
        assert [r.kind for r in history.records_after(5)] == ["state"]
        assert [r.kind for r in history.records_after(8)] == ["patch"]
        for unusual in (
            Record(sequence=10, kind="x" * 500),
            Record(sequence=10, kind={1}),
        ):
            history.apply(
                attrs.evolve(unusual, sequence=history.state.sequence + 1), 0.0
            )
            last = history.state.sequence - 1
            assert [r.kind for r in history.records_after(last)] == ["state"]

    def test_start(self) -> None:
        """Guards against a starting instance that has to evaluate the complete log."""
        history = History()
        for record in make_log(9):
            history.apply(record, 0.0)
        first = history.records_after(0)
        assert [(r.kind, r.sequence) for r in first] == [("state", 9)]
        assert history.records_after(0)[0] is first[0]
        history.apply(make_patch(10, 9), 0.0)
        assert [r.sequence for r in history.records_after(0)] == [10]

    def test_contradicting_state(self) -> None:
        """Guards against a peer's state that lowers or redefines the version."""
        history = History()
        for record in make_log(4):
            history.apply(record, 0.0)
        state = history.state
        lower = Record(sequence=9, kind="state", body={"version": 3})
        other = Record(sequence=9, kind="state", body={"version": 4})
        wrong = Record(sequence=9, kind="state", body={"version": 5, "services": 1})
        empty = Record(sequence=9, kind="state", body=None)
        assert history.catch_up([lower, other, wrong, empty], 1.0) == []
        assert (history.state, history.counts.conflicting) == (state, 4)

    def test_older_release(self) -> None:
        """Guards against an older release that adopts or evaluates an unknown level."""
        newer = Schema(known_level=2, levels=RELEASE_SCHEMA.levels)
        log = make_log(2)
        log.append(
            Record(
                sequence=3,
                kind="patch",
                base_version=2,
                body=[{"set": "schema_level", "value": 2}],
            )
        )
        log.append(make_patch(4, 3, schema_level=2))
        histories = History(schema=newer, tail_records=1), History(), History()
        for record in log:
            histories[0].apply(record, 0.0)
            histories[1].apply(record, 0.0)
        histories[2].catch_up(round_trip(histories[0].records_after(0)), 0.0)
        assert histories[0].incompatibility == ""
        assert [history.state.sequence for history in histories] == [4, 3, 0]
        assert all(
            "schema level 2" in history.incompatibility for history in histories[1:]
        )

    def test_older_peer(self) -> None:
        """Guards against a state with fields that are unknown to an older release."""
        levels = {**RELEASE_SCHEMA.levels, "service.retry_ratio": 2}
        newer = History(schema=Schema(known_level=2, levels=levels))
        body = {"version": 1, "services": {"ordering": {"targets": []}}}
        newer.apply(Record(sequence=1, kind="snapshot", body=body), 0.0)
        (state,) = newer.records_after(0)
        assert "queue_limit" in state.body["services"]["ordering"]
        assert "retry_ratio" not in state.body["services"]["ordering"]

    def test_published_state(self) -> None:
        """Guards against a published state that is adopted instead of refused."""
        history = History()
        published = Record(sequence=1, kind="state", body={"version": 9})
        (evaluated,) = history.apply_published([published], 0.0)
        assert isinstance(evaluated.verdict, Refused)
        (evaluated,) = history.apply_published([published, make_snapshot(2, 3)], 0.0)
        assert isinstance(evaluated.verdict, Accepted)
        assert (evaluated.from_version, history.state.version) == (0, 3)


class FleetMachine(RuleBasedStateMachine):
    """Instances that read one log late, repeatedly, out of order or from peers."""

    @initialize()
    def start(self) -> None:
        """Start all instances with an empty log."""
        self.log: list[Record] = []
        self.fleet = [History(tail_records=TAIL_RECORDS) for _ in range(INSTANCES)]
        self.versions = [0] * INSTANCES
        self.digests: dict[int, int] = {0: 0}
        self.contents: dict[int, Any] = {}
        self.verdicts: dict[int, str] = {}

    @rule(lag=st.integers(0, 2), size=st.integers(0, 150))
    def publish_patch(self, lag: int, size: int) -> None:
        """Publish a patch that may be invalid or have a stale base version."""
        base = max(history.state.version for history in self.fleet) - lag
        self.log.append(make_patch(len(self.log) + 1, base, size))

    @rule(version=st.integers(0, 4))
    def publish_snapshot(self, version: int) -> None:
        """Publish a snapshot, which instances with another configuration refuse."""
        self.log.append(make_snapshot(len(self.log) + 1, version))

    @rule(number=instance_numbers, start=st.integers(0, 9), rng=st.randoms())
    def read_out_of_order(self, number: int, start: int, rng: Any) -> None:
        """Read from any position of the log, in any order."""
        records = self.log[start:]
        rng.shuffle(records)
        for record in records:
            self.deliver(number, record)

    @rule(number=instance_numbers, lag=st.integers(0, 4))
    def read_stale(self, number: int, lag: int) -> None:
        """Read the log from its start, from a service that lags behind."""
        for record in self.log[: len(self.log) - lag]:
            self.deliver(number, record)

    @rule(number=instance_numbers, peer=instance_numbers)
    def fetch_from_peer(self, number: int, peer: int) -> None:
        """Fetch the records that a peer has and the instance lacks."""
        history = self.fleet[number]
        records = self.fleet[peer].records_after(history.state.sequence)
        for evaluated in history.catch_up(round_trip(records), 0.0):
            if evaluated.record.kind != "state":
                self.check_verdict(evaluated.record, evaluated.verdict)

    @rule(number=instance_numbers)
    def restart(self, number: int) -> None:
        """Replace an instance by one that first catches up with a peer."""
        self.fleet[number] = History(tail_records=TAIL_RECORDS)
        peers = [n for n in range(INSTANCES) if n != number]
        most_advanced = max(peers, key=lambda n: self.fleet[n].state.sequence)
        self.versions[number] = self.fleet[most_advanced].state.version
        self.fetch_from_peer(number, most_advanced)

    def deliver(self, number: int, record: Record) -> None:
        """Apply a record at one instance."""
        verdict = self.fleet[number].apply(record, 0.0)
        if verdict is not None:
            self.check_verdict(record, verdict)

    def check_verdict(self, record: Record, verdict: Accepted | Refused) -> None:
        """Check that a verdict equals that of the other instances."""
        text = str(verdict.reason) if isinstance(verdict, Refused) else "accepted"
        assert self.verdicts.setdefault(record.sequence, text) == text

    @invariant()
    def versions_agree(self) -> None:
        """Equal versions have equal digests, and versions never decrease."""
        for number, history in enumerate(self.fleet):
            state = history.state
            digest = self.digests.setdefault(state.version, state.digest)
            assert digest == state.digest
            content = self.contents.setdefault(state.digest, state.configuration)
            assert content == state.configuration
            assert state.version >= self.versions[number]
            self.versions[number] = state.version

    def teardown(self) -> None:
        """Check that all instances agree once each has read the complete log."""
        for number in range(INSTANCES):
            self.read_stale(number, 0)
        assert len({history.state.digest for history in self.fleet}) == 1
        assert {h.state.sequence for h in self.fleet} == {len(self.log)}


class TestFleet:
    """Histories of several instances for one log."""

    def test_agreement(self) -> None:
        """Guards against instances that disagree on verdicts, versions or content."""
        run_state_machine_as_test(
            FleetMachine,
            settings=settings(
                derandomize=True,
                max_examples=100,
                stateful_step_count=30,
                deadline=None,
            ),
        )
