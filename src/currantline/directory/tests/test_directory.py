"""Tests of ownership and address responses."""

import random
from collections import Counter

from currantline.configuration import Service, Target
from currantline.directory import assign_owners, build_address_response
from currantline.membership import InstanceEntry, Status, View

NAMES = tuple(f"instance-{number}" for number in range(18))
INSTANCES = tuple(
    (name, "north" if number % 2 else "south") for number, name in enumerate(NAMES)
)


def build_service(
    count: int = 10,
    slots: int = 2,
    slots_per_owner: int = 5,
    data_centres: tuple[str, ...] = ("north",),
) -> Service:
    """Return a service with the given targets."""
    targets = tuple(
        Target(
            name=f"target-{number}",
            address=f"127.0.0.{number + 1}:7000",
            data_centre=data_centres[number % len(data_centres)],
            slots=slots,
        )
        for number in range(count)
    )
    return Service(name="service", targets=targets, slots_per_owner=slots_per_owner)


def build_view(leaving: str = "") -> View:
    """Return a view of all instances, of which one may be leaving."""
    return View.build(
        InstanceEntry(
            name=name,
            data_centre="north" if number % 2 else "south",
            caller_address=f"127.0.1.{number + 1}:7100",
            peer_address=f"127.0.1.{number + 1}:7200",
            status=Status.LEAVING if name == leaving else Status.READY,
        )
        for number, name in enumerate(NAMES)
    )


class TestAssignOwners:
    """Assignment of targets to owners."""

    def test_shares_are_even(self) -> None:
        """Guards against an uneven distribution of targets over owners."""
        ownership = assign_owners(build_service(), INSTANCES)
        shares = Counter(ownership.targets.values())
        assert len(ownership.owners) == 4
        assert max(shares.values()) <= 3
        assert sum(shares.values()) == 10

    def test_order_of_instances_does_not_matter(self) -> None:
        """Guards against instances that derive different owners from the same view."""
        service = build_service()
        reverse = assign_owners(service, reversed(INSTANCES))
        assert assign_owners(service, INSTANCES) == reverse

    def test_loss_of_a_non_owner_changes_nothing(self) -> None:
        """Guards against changes of owner when an instance without targets leaves."""
        service = build_service()
        before = assign_owners(service, INSTANCES)
        non_owner = next(name for name, _ in INSTANCES if name not in before.owners)
        rest = [instance for instance in INSTANCES if instance[0] != non_owner]
        assert assign_owners(service, rest) == before

    def test_owners_are_in_the_data_centre_of_their_targets(self) -> None:
        """Guards against slots that are idle for a round trip between data centres."""
        service = build_service(data_centres=("north", "south"))
        owners = assign_owners(service, INSTANCES).targets
        data_centres = dict(INSTANCES)
        assert all(
            data_centres[owners[t.name]] == t.data_centre for t in service.targets
        )

    def test_data_centre_without_instances(self) -> None:
        """Guards against targets without an owner after the loss of instances."""
        service = build_service(data_centres=("north", "south", "west"))
        before = assign_owners(service, INSTANCES)
        assert set(before.targets) == {target.name for target in service.targets}
        after = assign_owners(service, [*INSTANCES, ("new", "west")])
        moved = {t for t in before.targets if after.targets[t] != before.targets[t]}
        assert moved == {t.name for t in service.targets if t.data_centre == "west"}

    def test_no_instances(self) -> None:
        """Guards against an error while no instance is ready."""
        assert assign_owners(build_service(), ()).targets == {}


class TestBuildAddressResponse:
    """Responses to address requests."""

    def test_owners_first_without_leaving(self) -> None:
        """Guards against callers directed to an instance that is leaving."""
        service = build_service()
        ownership = assign_owners(service, INSTANCES)
        leaving = ownership.owners[0]
        response = build_address_response(
            service,
            ownership,
            build_view(leaving),
            data_centre="north",
            version=1,
            rng=random.Random(1),
        )
        named = [address.instance for address in response.addresses]
        assert leaving not in named
        assert set(named[:3]) == set(ownership.owners[1:])
        assert all(address.data_centre == "north" for address in response.addresses[3:])

    def test_first_address_follows_shares(self) -> None:
        """Guards against callers that are not distributed by owned slots."""
        service = build_service(count=4, slots_per_owner=6)
        ownership = assign_owners(service, INSTANCES)
        rng = random.Random(2)
        view = build_view()
        first = Counter(
            build_address_response(
                service, ownership, view, data_centre="north", version=1, rng=rng
            )
            .addresses[0]
            .instance
            for _ in range(2000)
        )
        shares = Counter(ownership.targets.values())
        for owner, share in shares.items():
            assert abs(first[owner] / 2000 - share / 4) < 0.05
