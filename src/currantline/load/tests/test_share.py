"""Tests of the share right."""

import random

import pytest

from currantline.load import ShareRights

NAMES = ("a", "b", "c", "d")
TARGETS = ("t0", "t1", "t2")
MEMORY_MS = 60_000.0


def make_rights(name: str) -> ShareRights:
    """Return the rights of an instance that has just started."""
    rights = ShareRights(name)
    rights.set_targets(TARGETS, 0.0)
    return rights


class Fleet:
    """Instances that read copies of one list, up to the maximum permitted lag."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.versions: list[tuple[float, list[str]]] = [(-1e9, list(NAMES))]
        self.rights = {name: make_rights(name) for name in NAMES}
        self.unreachable_until: dict[str, float] = {}
        self.offsets = {name: self.rng.uniform(0.0, MEMORY_MS) for name in NAMES}

    def read(self, name: str, now: float) -> None:
        """Let an instance read a copy that lags by less than half of MEMORY_MS."""
        lag_ms = self.rng.choice([0.0, MEMORY_MS / 2 - 1]) * self.rng.random()
        found = [names for at, names in self.versions if at <= now - lag_ms]
        self.rights[name].set_listed(found[-1], now)

    def disturb(self, now: float) -> None:
        """Change the list, restart an instance or disconnect it from the platform."""
        name = self.rng.choice(NAMES)
        kind = self.rng.choice(("list", "restart", "cut", "nothing", "nothing"))
        if kind == "list":
            count = self.rng.randint(1, len(NAMES))
            self.versions.append((now, self.rng.sample(NAMES, count)))
        elif kind == "restart":
            self.rights[name] = make_rights(name)
        elif kind == "cut":
            self.unreachable_until[name] = now + self.rng.uniform(0, 2 * MEMORY_MS)

    def run(self, duration_ms: int) -> int:
        """Return how often a right was held, after checking for at most one holder."""
        held = 0
        for now in range(0, duration_ms, 1000):
            if now % 20_000 == 0:
                self.disturb(now)
            for name in NAMES:
                if self.unreachable_until.get(name, 0.0) <= now:
                    self.read(name, now)
            for target in TARGETS:
                holders = [n for n in NAMES if self.rights[n].holds(target, now)]
                assert len(holders) <= 1, (now, target, holders)
                held += len(holders)
        return held


class TestShareRights:
    """Holders of the share right."""

    @pytest.mark.parametrize("seed", range(6))
    def test_one_holder(self, seed: int) -> None:
        """Guards against two holders that have different copies of a stale list."""
        assert Fleet(seed).run(3_000_000) > 100

    def test_begins_and_ends(self) -> None:
        """Guards against a right held at the start, without a list or after a pause."""
        rights = make_rights("a")
        for now in range(0, 60_001, 1000):
            assert not rights.list_held(now - 1)
            rights.set_listed(["a"], now)
        assert rights.list_held(60_000) == list(TARGETS)
        assert rights.list_held(89_999) == list(TARGETS)
        assert rights.list_held(90_000) == []
        rights.set_listed(["a"], 90_000)
        assert rights.list_held(90_000) == []
        rights = make_rights("a")
        rights.set_listed(["a"], 0)
        rights.reset()
        rights.set_listed(["a"], 1000)
        rights.set_listed(["a"], 30_000)
        rights.set_listed(["a"], 59_000)
        assert rights.list_held(60_000) == []

    def test_holder_follows_list(self) -> None:
        """Guards against a holder that depends on earlier copies of the list."""
        rng = random.Random(1)
        rights = make_rights("a")
        for now in range(200):
            names = rng.sample(NAMES, rng.randint(0, len(NAMES)))
            rights.set_listed(names, now)
            fresh = make_rights("b")
            fresh.set_listed(names, 0)
            for target in TARGETS:
                assert rights.find_holder(target) == fresh.find_holder(target)

    def test_added_target(self) -> None:
        """Guards against an immediate right to probe a target that was just added."""
        rights = make_rights("a")
        for now in range(0, 61_000, 1000):
            rights.set_listed(["a"], now)
        rights.set_targets([*TARGETS, "t3"], 60_000)
        assert rights.holds("t2", 60_000)
        assert rights.find_holder("t3") == "a"
        assert not rights.holds("t3", 60_000)
