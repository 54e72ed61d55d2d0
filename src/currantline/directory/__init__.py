"""Which address a caller should use."""

from currantline.directory._answer import (
    ADDRESS_TTL_MS,
    AddressAnswer,
    NamedAddress,
    build_answer,
)
from currantline.directory._ownership import Ownership, assign_owners
from currantline.directory._table import OwnershipTable

__all__ = [
    "ADDRESS_TTL_MS",
    "AddressAnswer",
    "NamedAddress",
    "Ownership",
    "OwnershipTable",
    "assign_owners",
    "build_answer",
]
