"""Tests of the rights to probe."""

from currantline.configuration import Configuration
from currantline.control import OwnedTargets
from currantline.directory import OwnershipTable
from currantline.load.tests.test_book import make_service

DIGEST = 7


class Bench:
    """Instance a, which owns all targets of a service."""

    def __init__(self) -> None:
        self.service = make_service(3)
        self.configuration = Configuration(
            version=1, services={"ordering": self.service}
        )
        self.owners = OwnershipTable()
        self.digest = DIGEST
        self.plan = OwnedTargets(
            name="a",
            owners=self.owners,
            holds_majority=lambda: True,
            read_digest=lambda: self.digest,
        )
        self.owners.update(self.configuration.services, ["a"])
        self.plan.update(self.configuration, DIGEST)


class TestOwnedTargets:
    """Rights to probe."""

    def test_lease_of_another_view(self) -> None:
        """Guards against a lease used for owners of an earlier view or version."""
        bench = Bench()
        assert bench.plan.holds_lease("t0", 0)
        bench.digest = DIGEST + 1
        assert not bench.plan.holds_lease("t0", 0)
