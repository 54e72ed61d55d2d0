"""Permits for requests to targets that limit the requests of the whole fleet.

The permits also bound the requests to targets that warm up, see `WarmupIssuer`.

One instance, chosen by rendezvous hashing among the ready ones, issues all permits of a
target. The sum over the fleet is therefore exact, whatever its size and however low the
limit, and unused permits of one instance are available to the others.
"""

from currantline.permits._choice import choose_issuer, format_key
from currantline.permits._codec import decode_message, encode_message
from currantline.permits._issuer import PermitIssuer
from currantline.permits._messages import (
    Permit,
    PermitRequest,
    PermitResponse,
    Report,
    WaitBounds,
    WarmupPermitRequest,
)
from currantline.permits._protocol import PermitProtocol
from currantline.permits._warmup_issuer import (
    PERMIT_VALIDITY_MS,
    WINDOW_MS,
    WarmupIssuer,
)

__all__ = [
    "PERMIT_VALIDITY_MS",
    "WINDOW_MS",
    "Permit",
    "PermitIssuer",
    "PermitProtocol",
    "PermitRequest",
    "PermitResponse",
    "Report",
    "WaitBounds",
    "WarmupIssuer",
    "WarmupPermitRequest",
    "choose_issuer",
    "decode_message",
    "encode_message",
    "format_key",
]
