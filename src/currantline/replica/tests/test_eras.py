"""Tests of replicas and readers of a platform that returns from an older copy."""

import asyncio

import pytest

from currantline.exceptions import PlatformError, StoreReturnedError
from currantline.platform import find_era_start
from currantline.platform._revisions import compose_revision
from currantline.replica import Record, Replica, decode_changes, encode_changes
from currantline.replica._reader import RECOVERY_GRACE_MS
from currantline.replica.tests.test_reader import ERA, Batch, Harness, run


def make_replica(*records: Record, revision: int = 100) -> Replica:
    """Return a replica that is complete up to a revision of era 0."""
    replica = Replica(find_era_start=find_era_start)
    replica.merge(records, revision)
    return replica


def era(number: int) -> int:
    """Return a revision of era 1."""
    return compose_revision(1, number)


class TestReplica:
    """Merging of the states of several eras."""

    def test_lower_number(self) -> None:
        """Guards against writes after a return that are ignored as old."""
        replica = make_replica(Record("a", 95, "x"))
        replica.replace([Record("a", era(80), "old")], era(90))
        replica.merge([Record("a", era(91), "new")], era(91))
        assert (replica.find("a"), replica.revision) == ("new", era(91))

    def test_absence_is_deferred_anew(self) -> None:
        """Guards against a removal that is due before the writers had their time.

        It was pending when the platform returned, or returned once more.
        """
        replica = make_replica(Record("a", 95, "x"), Record("b", 95, "x"))
        replica.merge([Record("a", 101, None)], 101, defer_removals_until=10.0)
        replica.replace([], era(90), defer_removals_until=20.0)
        assert replica.apply_due_removals(19.0) == []
        replica.replace([], compose_revision(2, 80), defer_removals_until=30.0)
        assert replica.apply_due_removals(29.0) == []
        replica.merge([Record("a", compose_revision(2, 81), "x")], 0)
        replica.merge([], compose_revision(2, 81))
        assert [r.key for r in replica.apply_due_removals(30.0)] == ["a", "b"]

    def test_pending_removal_of_what_the_copy_holds(self) -> None:
        """Guards against a removal of an earlier era that ends what is published."""
        replica = make_replica(Record("op/evacuate/a", 85, "{}"))
        removal = Record("op/evacuate/a", 101, None)
        replica.merge([removal], 101, defer_removals_until=10.0)
        copied = Record("op/evacuate/a", era(85), "{}")
        replica.replace([copied], era(90), defer_removals_until=20.0)
        replica.apply_due_removals(50.0)
        assert replica.find("op/evacuate/a") == "{}"
        assert replica.merge([removal], 101) == []

    def test_mark_of_an_earlier_era(self) -> None:
        """Guards against a copied record that is hidden by an old mark, or passed on.

        The record is published until it is removed again.
        """
        replica = make_replica(Record("a", 85, "x"), Record("a", 99, None))
        replica.replace([Record("a", era(85), "x")], era(90))
        assert replica.find("a") == "x"
        replica.merge([Record("a", era(91), None)], era(91))
        assert replica.find("a") is None

    def test_peer_learns_while_removals_are_deferred(self) -> None:
        """Guards against instances that learn of an era only after the grace period.

        The other has read more of the earlier era, so it is ahead by its number.
        """
        first = make_replica(Record("a", 95, "x"))
        second = make_replica(Record("c", 103, "z"), revision=105)
        first.replace([Record("b", era(80), "y")], era(90), defer_removals_until=20.0)
        assert first.revision == era(0) > second.revision
        assert first.apply_changes(second.list_changes(0)) == []
        changes = first.list_changes(0)
        assert second.is_gap_before(changes)
        second.apply_changes(changes, defer_removals_until=20.0)
        # It knows that the record a was removed, and keeps what the copy lacks.
        assert sorted(second.list_keys()) == ["b", "c"]
        # What the copy lacks is not known there, so the era has to be read in full.
        assert second.is_unread
        assert not first.is_unread

    def test_changes_keep_the_era(self) -> None:
        """Guards against an era that is lost on the way between instances."""
        replica = make_replica(Record("a", 95, "x"))
        replica.replace([Record("a", era(85), "x")], era(90))
        changes = replica.list_changes(0)
        history = changes.history_revision
        assert history == era(90)
        decoded = decode_changes(
            encode_changes(changes), after=0, history_revision=history
        )
        assert decoded == changes


class TestReader:
    """Reads of a platform that returns."""

    def test_return(self) -> None:
        """Guards against a return that is not read in full, or not logged."""

        async def scenario(harness: Harness) -> None:
            await asyncio.sleep(0.1)
            harness.platform.batch = Batch((Record("a", ERA + 1, "old"),), ERA + 1)
            harness.platform.error = StoreReturnedError("returned", ERA)
            await asyncio.sleep(4.0)
            harness.platform.error = None
            await asyncio.sleep(2.0)
            assert harness.replica.find("a") == "old"
            assert sorted(harness.replica.list_keys()) == ["a", "b"]
            await asyncio.sleep(RECOVERY_GRACE_MS / 1000)
            assert harness.replica.list_keys() == ["a"]
            text = b"".join(harness.log_lines)
            assert text.count(b'"event": "store_returned"') == 1
            assert b'"era": 1, "previous": 0' in text

        run(scenario)

    def test_late_watch(self) -> None:
        """Guards against a late answer that reverts what another instance passed on.

        It counts as a failure.
        """

        async def scenario(harness: Harness) -> None:
            await asyncio.sleep(0.5)
            harness.replica.replace([Record("a", ERA + 1, "x")], ERA + 1)
            late = Batch((Record("a", 9, "late"), Record("c", 8, "late")), 9)
            harness.platform.events.put_nowait(late)
            await asyncio.sleep(0.1)
            assert harness.replica.list_keys() == ["a"]
            assert harness.replica.find("a") == "x"
            assert not harness.reader.can_reach_platform

        run(scenario)

    def test_late_full_read(self) -> None:
        """Guards against a full read of an era that has ended meanwhile."""

        async def scenario(harness: Harness) -> None:
            harness.replica.replace([Record("c", ERA + 1, "x")], ERA + 1)
            harness.platform.error = PlatformError("down")
            await asyncio.sleep(0.1)
            harness.reader._needs_full_read = True
            harness.platform.error = None
            await asyncio.sleep(4.0)
            assert harness.replica.list_keys() == ["c"]

        run(scenario)

    def test_return_known_from_another_instance(self) -> None:
        """Guards against a full read of what another instance has passed on."""

        async def scenario(harness: Harness) -> None:
            await asyncio.sleep(0.1)
            harness.reader.observe_revision(ERA + 1)
            assert harness.reader.find_grace_deadline() is not None
            harness.replica.replace([Record("a", ERA + 1, "x")], ERA + 1)
            harness.platform.error = StoreReturnedError("returned", ERA)
            await asyncio.sleep(3.95)
            harness.platform.error = None
            await asyncio.sleep(3.0)
            assert harness.platform.calls.count("all") == 1

        run(scenario)

    @pytest.mark.parametrize("number", [0, ERA])
    def test_empty_platform(self, number: int) -> None:
        """Guards against a platform without records that is read in a loop."""

        async def scenario(harness: Harness) -> None:
            harness.platform.batch = Batch((), number)
            await asyncio.sleep(2.0)
            assert len(harness.platform.calls) <= 11

        run(scenario)
