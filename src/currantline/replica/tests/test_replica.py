"""Tests of the replica and its codec."""

import zlib

import pytest

from currantline.exceptions import PeerError
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
        second.merge([Record("b", 2, "y"), Record("c", 1, "z")], 2)
        assert first.digest != second.digest
        second.merge([Record("a", 1, "x"), Record("c", 3, None)], 3)
        assert first.digest == second.digest

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

    def test_changes_after_a_position(self) -> None:
        """Guards against pulls that miss changes or always return all records."""
        replica = Replica()
        replica.merge([Record("a", 1, "x"), Record("b", 2, "y")], 2)
        position = replica.position
        replica.merge([Record("a", 3, None)], 3)
        changes = replica.list_changes(position)
        assert changes.records == (Record("a", 3, None),)
        assert decode_changes(encode_changes(changes)) == changes
        assert len(replica.list_changes(0).records) == 2


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
                decode_changes(received)
