"""Owners of targets, and the instance addresses that callers should use."""

from currantline.directory._address_response import (
    ADDRESS_TTL_MS,
    AddressResponse,
    InstanceAddress,
    build_address_response,
)
from currantline.directory._ownership import Ownership, assign_owners
from currantline.directory._table import OwnershipTable

__all__ = [
    "ADDRESS_TTL_MS",
    "AddressResponse",
    "InstanceAddress",
    "Ownership",
    "OwnershipTable",
    "assign_owners",
    "build_address_response",
]
