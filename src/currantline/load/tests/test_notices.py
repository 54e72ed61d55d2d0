"""Tests of the selection of notices for peers."""

from currantline.load import NoticeSchedule, TargetNotice, TargetState


def make_notices(count: int, drains: int = 0) -> list[TargetNotice]:
    """Return notices, the last of which are drains."""
    return [
        TargetNotice(
            target=f"target-{i:02}",
            state=TargetState.DRAINING if i >= count - drains else TargetState.READY,
            age_ms=100.0,
        )
        for i in range(count)
    ]


class TestNoticeSchedule:
    """Selection of notices within a size limit."""

    def test_all_targets_are_sent(self) -> None:
        """Guards against targets that are never sent and oversized messages."""
        schedule = NoticeSchedule(max_bytes=100)
        notices = make_notices(20, drains=1)
        rounds = [[n.target for n in schedule.pick(notices)] for _ in range(8)]
        assert all(len(names) <= 4 for names in rounds)
        assert all("target-19" in names for names in rounds)
        assert len({name for names in rounds for name in names}) == 20

    def test_drain_is_collected_once(self) -> None:
        """Guards against a drain that is not sent at once, or is sent repeatedly."""
        schedule = NoticeSchedule()
        drains = make_notices(3, drains=1)
        assert [n.target for n in schedule.collect_new_drains(drains)] == ["target-02"]
        assert schedule.collect_new_drains(drains) == []
        assert schedule.collect_new_drains(make_notices(3)) == []
        assert len(schedule.collect_new_drains(drains)) == 1
