"""Responses to callers that request the addresses of a service."""

import random

import attrs

from currantline.configuration import Service
from currantline.directory._ownership import Ownership
from currantline.membership import InstanceEntry, Status, View, rank

__all__ = [
    "ADDRESS_TTL_MS",
    "AddressResponse",
    "InstanceAddress",
    "build_address_response",
]

ADDRESS_TTL_MS = 2000.0

# Addresses of non-owners, for callers that cannot reach any owner.
FALLBACK_ADDRESSES = 3


@attrs.frozen(kw_only=True)
class InstanceAddress:
    """Address of one instance.

    Parameters
    ----------
    instance : str
        Name of the instance.
    address : str
        IP address and port for callers.
    data_centre : str
        Data centre of the instance.
    """

    instance: str
    address: str
    data_centre: str


@attrs.frozen(kw_only=True)
class AddressResponse:
    """Addresses of a service in the order in which to try them.

    Parameters
    ----------
    service : str
        Name of the service.
    version : int
        Configuration version in force.
    ttl_ms : float
        Time for which the response may be cached, in milliseconds.
    addresses : tuple of InstanceAddress
        Addresses in order of preference.
    """

    service: str
    version: int
    ttl_ms: float
    addresses: tuple[InstanceAddress, ...]


def build_address_response(
    service: Service,
    ownership: Ownership,
    view: View,
    *,
    data_centre: str,
    version: int,
    rng: random.Random,
) -> AddressResponse:
    """Build the response to one address request.

    Parameters
    ----------
    service : Service
        Requested service.
    ownership : Ownership
        Owners of its targets.
    view : View
        Live instances.
    data_centre : str
        Data centre of the local instance, preferred for fallback addresses.
    version : int
        Configuration version in force.
    rng : random.Random
        Random number generator for the order, which spreads callers over the owners.

    Returns
    -------
    AddressResponse
        Owners in random order weighted by owned slots, then fallback addresses.
    """
    ready = {e.name: e for e in view.instances if e.status is Status.READY}
    owners = _order_owners(service, ownership, ready, rng)
    rest = [ready[n] for n in rank(service.name, ready) if n not in owners]
    rest.sort(key=lambda entry: entry.data_centre != data_centre)
    chosen = [ready[name] for name in owners] + rest[:FALLBACK_ADDRESSES]
    return AddressResponse(
        service=service.name,
        version=version,
        ttl_ms=ADDRESS_TTL_MS,
        addresses=tuple(_make_instance_address(entry) for entry in chosen),
    )


def _order_owners(
    service: Service,
    ownership: Ownership,
    ready: dict[str, InstanceEntry],
    rng: random.Random,
) -> list[str]:
    weights: dict[str, int] = {}
    for target in service.targets:
        owner = ownership.targets.get(target.name)
        if owner in ready:
            weights[owner] = weights.get(owner, 0) + target.slots
    # Sorting by u ** (1 / w) samples without replacement in proportion to w
    # (Efraimidis and Spirakis, 2006).
    keys = {name: rng.random() ** (1 / w) for name, w in sorted(weights.items())}
    return sorted(keys, key=lambda name: -keys[name])


def _make_instance_address(entry: InstanceEntry) -> InstanceAddress:
    return InstanceAddress(
        instance=entry.name,
        address=entry.caller_address,
        data_centre=entry.data_centre,
    )
