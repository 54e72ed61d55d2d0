"""Tests of the history of starts of targets."""

from typing import Any

import attrs
import pytest

from currantline.placement import PublishedTarget, StartHistory
from currantline.placement._start_history import MAX_STARTS

KNOWN = PublishedTarget(
    name="t",
    started_unix_ms=5,
    address="10.9.0.1:80",
    service="s",
    data_centre="a",
    slots=2,
    sequence=7,
)


def make_history(known: PublishedTarget = KNOWN) -> StartHistory:
    """Return a history that knows one entry of era 0."""
    history = StartHistory()
    assert not history.is_old(known, 0)
    return history


class TestStartHistory:
    """Which entries of a later era are used."""

    @pytest.mark.parametrize(
        ("changes", "is_old"),
        [
            ({"sequence": 6}, True),
            ({"sequence": 7}, True),
            ({"sequence": 8}, False),
            ({"sequence": 1, "started_unix_ms": 6}, False),
            ({"sequence": 1, "address": "10.9.0.2:80"}, False),
            ({"sequence": 1, "name": "u"}, False),
            ({"sequence": None}, False),
            # Some writers keep the number; a drain must not be missed for it.
            ({"sequence": 7, "is_draining": True}, False),
        ],
    )
    def test_later_era(self, changes: dict[str, Any], is_old: bool) -> None:
        """Guards against an old entry in use, and against a new one that is not."""
        entry = attrs.evolve(KNOWN, **changes)
        assert make_history().is_old(entry, 1) == is_old
        assert make_history().is_old(entry, 2) == is_old

    def test_within_an_era(self) -> None:
        """Guards against an entry that is ignored although its revision is newer."""
        assert not make_history().is_old(attrs.evolve(KNOWN, sequence=4), 0)

    def test_highest_is_kept(self) -> None:
        """Guards against old entries in use after the return of a second copy."""
        history = make_history()
        assert history.is_old(attrs.evolve(KNOWN, sequence=5), 1)
        assert history.is_old(attrs.evolve(KNOWN, sequence=6), 2)
        assert not history.is_old(attrs.evolve(KNOWN, sequence=9), 2)
        assert not history.is_old(attrs.evolve(KNOWN, sequence=8), 2)
        assert history.is_old(attrs.evolve(KNOWN, sequence=9), 3)

    def test_earlier_start(self) -> None:
        """Guards against the copied entry of a start that has been replaced."""
        history = make_history()
        assert not history.is_old(attrs.evolve(KNOWN, started_unix_ms=9), 0)
        assert history.is_old(KNOWN, 1)

    def test_drained(self) -> None:
        """Guards against a drained target that is reinstated by its number."""
        history = make_history(attrs.evolve(KNOWN, is_draining=True))
        assert history.is_old(KNOWN, 1)
        assert history.is_old(attrs.evolve(KNOWN, is_draining=True), 1)

    def test_bounded(self) -> None:
        """Guards against memory that grows with each start of a target."""
        history = StartHistory()
        for born in range(2 * MAX_STARTS):
            history.is_old(attrs.evolve(KNOWN, started_unix_ms=born), 0)
        assert len(history._starts) == MAX_STARTS
        newest = attrs.evolve(KNOWN, started_unix_ms=2 * MAX_STARTS - 1)
        assert history.is_old(newest, 1)
