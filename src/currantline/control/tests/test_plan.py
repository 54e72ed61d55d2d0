"""Tests of which targets an instance may probe."""

from currantline.configuration import Configuration, Service, Target
from currantline.control import OwnedTargets
from currantline.directory import OwnershipTable

TARGETS = tuple(
    Target(name=f"t{number}", address="127.0.0.1:7000", data_centre="n", slots=2)
    for number in range(100)
)


class TestOwnedTargets:
    """Right to probe by the majority lease."""

    def test_one_check_of_the_lease_serves_one_instant(self) -> None:
        """Guards against a check of all instances for each owned target and tick."""
        answers = iter([True, False])
        owners = OwnershipTable()
        service = Service(name="s", targets=TARGETS)
        configuration = Configuration(version=1, services={"s": service})
        owners.update(configuration.services, ["a"])
        plan = OwnedTargets("a", owners, lambda: next(answers))
        plan.update(configuration)
        names = [target.name for target in plan.list_owned()]
        assert all(plan.holds_lease(name, 1.0) for name in names)
        # A lease that ended is noticed at the next instant.
        assert not any(plan.holds_lease(name, 2.0) for name in names)
        assert not plan.holds_lease("unknown", 3.0)
