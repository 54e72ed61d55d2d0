"""Tests of the replica and its codec."""

import random
import zlib

import pytest

from currantline.exceptions import InvariantError, PeerError
from currantline.platform import find_era_start
from currantline.platform._revisions import compose_revision, find_era, find_number
from currantline.replica import Record, Replica, decode_changes, encode_changes


class TestReplica:
    """Merging of records."""

    def test_stale_record(self) -> None:
        """Guards against an older record that overwrites a newer one."""
        replica = Replica()
        replica.merge([Record("a", 5, "new")], 5)
        assert replica.merge([Record("a", 4, "old")], 6) == []
        assert replica.find("a") == "new"
        assert replica.revision == 6

    def test_stale_record_after_removal(self) -> None:
        """Guards against a removed record that a late report restores."""
        replica = Replica()
        replica.merge([Record("a", 5, "x"), Record("a", 7, None)], 7)
        assert replica.merge([Record("a", 5, "x")], 7) == []
        assert replica.list_keys() == []
        replica.merge([Record("a", 9, "again")], 9)
        assert replica.list_keys() == ["a"]

    def test_digests_agree(self) -> None:
        """Guards against equal replicas that pull from each other without end."""
        first, second = Replica(), Replica()
        first.merge([Record("a", 1, "x"), Record("b", 2, "y")], 2)
        second.merge([Record("b", 2, "y"), Record("c", 1, "z")], 0)
        assert first.digest != second.digest
        second.merge([Record("a", 1, "x"), Record("c", 3, None)], 3)
        assert first.digest == second.digest

    def test_late_watch(self) -> None:
        """Guards against a watch that restores a record after a newer full read."""
        replica = Replica()
        replica.merge([Record("a", 1, "x")], 1)
        replica.replace([], 5)
        assert replica.merge([Record("b", 2, "y")], 2) == []
        assert replica.list_keys() == []

    def test_complete_reading_removes(self) -> None:
        """Guards against targets kept although removed while history was lost."""
        replica = Replica()
        replica.merge([Record("a", 1, "x"), Record("b", 2, "y")], 2)
        changed = replica.replace([Record("a", 1, "x")], 4)
        assert changed == [Record("b", 4, None)]

    def test_reading_keeps_what_is_newer(self) -> None:
        """Guards against a full read that removes records written after its start."""
        replica = Replica()
        replica.merge([Record("b", 9, "y")], 9)
        assert replica.replace([], 4) == []
        assert replica.list_keys() == ["b"]

    def test_deferred_removals(self) -> None:
        """Guards against targets removed in an outage, and against stale ones kept."""
        replica = Replica()
        replica.merge([Record("a", 1, "x"), Record("b", 2, "y")], 2)
        replica.replace([], 4, defer_removals_until=100.0)
        assert sorted(replica.list_keys()) == ["a", "b"]
        replica.merge([Record("a", 6, "x")], 6)
        assert replica.apply_due_removals(99.0) == []
        assert replica.apply_due_removals(100.0) == [Record("b", 4, None)]
        assert replica.list_keys() == ["a"]

    def test_deferring_instance_is_lost(self) -> None:
        """Guards against a removal that is lost with the instance that deferred it.

        Others must not take over a revision up to which they lack a removal.
        """
        reader, other = Replica(), Replica()
        for replica in (reader, other):
            replica.merge([Record("a", 1, "x")], 1)
        changes = [Record("a", 2, None), Record("b", 3, "y")]
        reader.merge(changes, 3, defer_removals_until=100.0)
        assert (reader.revision, reader.read_revision) == (1, 3)
        other.apply_changes(reader.list_changes(0))
        assert other.list_keys() == ["a", "b"]
        assert other.revision < 2
        assert reader.apply_due_removals(100.0) == [Record("a", 2, None)]
        assert reader.revision == 3

    def test_absence_is_deferred(self) -> None:
        """Guards against an absence that is lost with the instance that read it."""
        replica = Replica()
        replica.merge([Record("a", 1, "x")], 1)
        replica.replace([], 5, defer_removals_until=100.0)
        assert (replica.revision, replica.list_keys()) == (1, ["a"])
        other = Replica()
        other.merge([Record("a", 1, "x"), Record("a", 4, None)], 7)
        replica.apply_changes(other.list_changes(0))
        assert (replica.revision, replica.list_keys()) == (7, [])

    def test_written_and_removed_while_deferring(self) -> None:
        """Guards against a removal that is forgotten for an earlier change."""
        replica = Replica()
        replica.merge([Record("a", 1, "x")], 1)
        changes = [Record("a", 2, "y"), Record("a", 3, None)]
        replica.merge(changes, 3, defer_removals_until=100.0)
        replica.apply_due_removals(100.0)
        assert replica.list_keys() == []

    def test_changes_after_a_position(self) -> None:
        """Guards against pulls that miss changes or always return all records."""
        replica = Replica()
        replica.merge([Record("a", 1, "x"), Record("b", 2, "y")], 2)
        position = replica.position
        replica.merge([Record("a", 3, None)], 3)
        changes = replica.list_changes(position)
        assert changes.records == (Record("a", 3, None),)
        decoded = decode_changes(
            encode_changes(changes), after=position, history_revision=0
        )
        assert decoded == changes
        assert len(replica.list_changes(0).records) == 2


class TestRestart:
    """Exchange with a replica that was lost and read again."""

    def test_removal_before_the_read(self) -> None:
        """Guards against a target that has left and comes back from an older replica.

        A restarted instance has no mark for what was removed before its full read.
        """
        old, restarted = Replica(), Replica()
        old.merge([Record("a", 1, "x"), Record("b", 2, "y")], 2)
        restarted.replace([Record("a", 1, "x")], 3)
        assert restarted.apply_changes(old.list_changes(0)) == []
        assert old.apply_changes(restarted.list_changes(0)) == [Record("b", 3, None)]
        assert (old.revision, old.digest) == (restarted.revision, restarted.digest)

    def test_unknown_removal_is_passed_on(self) -> None:
        """Guards against an instance that never knew a record and hides its removal.

        Its incremental changes show no removal, so they must not be taken for complete.
        """
        holder, middle, restarted = Replica(), Replica(), Replica()
        middle.merge([Record("a", 1, "x")], 1)
        holder.apply_changes(middle.list_changes(0))
        position = middle.position
        holder.merge([Record("b", 2, "y")], 2)
        restarted.replace([Record("a", 1, "x")], 3)
        middle.apply_changes(restarted.list_changes(0))
        changes = middle.list_changes(position)
        assert holder.is_gap_before(changes)
        with pytest.raises(InvariantError):
            holder.apply_changes(changes)
        holder.apply_changes(middle.list_changes(0))
        assert holder.list_keys() == ["a"]

    def test_no_full_comparison_without_a_gap(self) -> None:
        """Guards against one restart after which all instances exchange all records."""
        reader, restarted = Replica(), Replica()
        reader.merge([Record("a", 1, "x")], 1)
        restarted.replace([Record("a", 1, "x")], 1)
        restarted.merge([Record("a", 2, None)], 2)
        changes = restarted.list_changes(restarted.position - 1)
        assert not reader.is_gap_before(changes)
        assert reader.apply_changes(changes) == [Record("a", 2, None)]
        assert reader.history_revision == 0


class Store:
    """Published records with their history in each era."""

    def __init__(self) -> None:
        self.histories: list[list[Record]] = [[]]

    @property
    def history(self) -> list[Record]:
        """Changes of the current era, and those before that the copy had."""
        return self.histories[-1]

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return compose_revision(len(self.histories) - 1, len(self.history))

    def change(self, key: str, document: str | None) -> None:
        """Write or remove a record."""
        self.history.append(Record(key, self.revision + 1, document))

    def restore(self, lost: int) -> None:
        """Begin an era without the last changes."""
        era, kept = len(self.histories), self.history[: len(self.history) - lost]
        self.histories.append(
            [
                Record(record.key, compose_revision(era, number + 1), record.document)
                for number, record in enumerate(kept)
            ]
        )

    def list_changes(self, after: int) -> list[Record]:
        """Return the changes after a revision of the current era."""
        return self.history[find_number(after) :]

    def list_records(self, revision: int) -> dict[str, Record]:
        """Return the records that were published at a revision."""
        history = self.histories[find_era(revision)]
        latest = {record.key: record for record in history[: find_number(revision)]}
        return {key: r for key, r in latest.items() if not r.is_removed}


class TestConvergence:
    """Replicas that read, watch, restart and pull in any order."""

    @pytest.mark.parametrize("return_weight", [0.0, 0.3])
    @pytest.mark.parametrize("seed", range(60))
    def test_no_removed_record(self, seed: int, return_weight: float) -> None:
        """Guards against replicas that hold a record beyond its removal.

        Removals are deferred at random, as after an outage. The store may return from
        older copies.
        """
        rng = random.Random(seed)
        store = Store()
        replicas = [Replica(find_era_start=find_era_start) for _ in range(4)]
        checkpoints: dict[tuple[int, int], int] = {}

        def restart(index: int) -> None:
            replicas[index] = Replica(find_era_start=find_era_start)
            for pair in [pair for pair in checkpoints if index in pair]:
                del checkpoints[pair]

        def read(index: int) -> None:
            # Pages are no snapshot: records after a boundary may be newer.
            started = store.revision
            boundary = rng.choice("abcdefg")
            records = store.list_records(started)
            if rng.random() < 0.5:
                store.change(rng.choice("abcdef"), rng.choice(["x", None]))
            later = store.list_records(store.revision)
            page = [r for key, r in records.items() if key < boundary]
            page += [r for key, r in later.items() if key >= boundary]
            replicas[index].replace(
                page, started, defer_removals_until=rng.choice([None, now + 20.0])
            )

        def watch(index: int) -> None:
            replica = replicas[index]
            if replica.is_unread or replica.begins_era(store.revision):
                if replica.revision:
                    read(index)
            else:
                replica.merge(
                    store.list_changes(replica.read_revision),
                    store.revision,
                    defer_removals_until=rng.choice([None, now + 20.0]),
                )

        def pull(index: int, source: int) -> None:
            replica = replicas[index]
            changes = replicas[source].list_changes(checkpoints.get((index, source), 0))
            if changes.after and replica.is_gap_before(changes):
                changes = replicas[source].list_changes(0)
            checkpoints[index, source] = changes.position
            replica.apply_changes(
                changes, defer_removals_until=rng.choice([None, now + 20.0])
            )

        def answer_late(index: int) -> None:
            replica = replicas[index]
            late = rng.choice(store.histories[: find_era(replica.read_revision)])
            state = (replica.revision, replica.digest, replica.list_keys())
            revision = late[-1].revision if late else 0
            assert replica.merge(late, revision) == []
            assert replica.replace(late, revision) == []
            assert state == (replica.revision, replica.digest, replica.list_keys())

        now = 0.0
        for _ in range(300):
            now += 1.0
            index, source = rng.sample(range(4), 2)
            action = rng.choices(
                ("change", "restart", "read", "watch", "pull", "return"),
                (8, 1, 2, 2, 8, return_weight),
            )[0]
            if action == "change":
                store.change(rng.choice("abcdef"), rng.choice(["x", None]))
            elif action == "pull":
                pull(index, source)
            elif action == "return":
                store.restore(rng.randint(0, min(10, len(store.history))))
            else:
                {"restart": restart, "read": read, "watch": watch}[action](index)
            if find_era(replicas[index].read_revision):
                answer_late(index)
            for replica in replicas:
                replica.apply_due_removals(now)
                if replica.revision == find_era_start(replica.revision):
                    continue
                published = store.list_records(replica.revision)
                for record in replica.list_changes(0).records:
                    if not record.is_removed and record.revision <= replica.revision:
                        assert published.get(record.key) == record
        for index in range(4):
            if not replicas[index].revision:
                read(index)
            # Reads the era in full if it is new, which lets the store change again.
            watch(index)
        for index in range(4):
            watch(index)
            replicas[index].apply_due_removals(now + 100.0)
        for index in range(1, 4):
            pull(index, 0)
            replicas[index].apply_due_removals(now + 100.0)
        assert len({(r.revision, r.digest) for r in replicas}) == 1
        assert sorted(replicas[3].list_keys()) == sorted(
            store.list_records(store.revision)
        )


class TestDecodeChanges:
    """Decoding of changes from other instances."""

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"{}",
            b"[1]",
            b"[1,2,[[1]]]",
            b"\xff",
            b'[1,2,[{"a":1}]]',
            b"[1e999,2,[]]",
            b"[" * 100_000,
        ],
    )
    def test_malformed(self, data: bytes) -> None:
        """Guards against foreign data that terminates the task."""
        for received in (data, zlib.compress(data)):
            with pytest.raises(PeerError):
                decode_changes(received, after=0, history_revision=0)
