"""Tests of the choice of targets to probe."""

import random

from currantline.placement import PublishedTarget, Target, choose_probe_targets


def make_targets(count: int) -> list[Target]:
    """Return targets of one service."""
    return [
        Target(
            PublishedTarget(
                name=f"t{number}",
                address=f"10.0.1.{number}:80",
                service="s",
                data_centre="a",
                slots=2,
            )
        )
        for number in range(count)
    ]


class TestChooseProbeTargets:
    """Choice of targets to probe."""

    def test_large_fleet(self) -> None:
        """Guards against a new connection for nearly every probe.

        Simulates an instance of a large fleet. Its requests are so few that only the
        connections of its latest probes are still open.
        """
        targets, rng = make_targets(12), random.Random(1)
        connected: set[str] = set()
        opened = 0

        def is_connected(target: Target) -> bool:
            return target.name in connected

        for _ in range(400):
            probed = choose_probe_targets(
                targets,
                4,
                is_connected=is_connected,
                now=0.0,
                rng=rng,
            )
            opened += len({t.name for t in probed} - connected)
            connected = {t.name for t in probed}
        # Random choice opens 2.7 connections per 4 probes here.
        assert opened / 400 < 0.5

    def test_exploration(self) -> None:
        """Guards against a new target that never gets a request."""
        targets, rng = make_targets(12), random.Random(1)
        probed: set[str] = set()
        for _ in range(300):
            chosen = choose_probe_targets(
                targets,
                4,
                is_connected=lambda target: target.name in {"t0", "t1", "t2", "t3"},
                now=0.0,
                rng=rng,
            )
            probed |= {target.name for target in chosen}
        assert len(probed) == 12

    def test_exploration_after_failure(self) -> None:
        """Guards against a target that is never used again after one failure.

        Its connection has ended while other targets were used.
        """
        targets, rng = make_targets(8), random.Random(1)
        targets[7].passive_health.record_failure(0.0)
        chosen = [
            choose_probe_targets(
                targets,
                4,
                is_connected=lambda target: target in targets[:4],
                now=10_000.0,
                rng=rng,
            )
            for _ in range(300)
        ]
        assert any(targets[7] in found for found in chosen)

    def test_failing_targets_last(self) -> None:
        """Guards against probes of failing targets while healthy ones exist."""
        targets = make_targets(6)
        for target in targets[:3]:
            target.passive_health.record_failure(0.0)
        for seed in range(20):
            chosen = choose_probe_targets(
                targets,
                3,
                is_connected=lambda target: target in targets[:3],
                now=0.0,
                rng=random.Random(seed),
            )
            assert not set(map(id, chosen)) & set(map(id, targets[:3]))

    def test_few_targets(self) -> None:
        """Guards against an error when there are fewer targets than the limit."""
        targets = make_targets(2)
        chosen = choose_probe_targets(
            targets,
            4,
            is_connected=lambda target: False,
            now=0.0,
            rng=random.Random(1),
        )
        assert len(chosen) == 2
