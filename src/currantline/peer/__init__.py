"""Calls between instances over gRPC."""

from currantline.peer._client import PeerClient, PeerOptions
from currantline.peer._codec import (
    MAX_MESSAGE_BYTES,
    LimitedCodec,
    decode_envelope,
    decode_gossip,
    decode_records,
    encode_envelope,
    encode_gossip,
    encode_records,
)
from currantline.peer._messages import (
    Demand,
    Envelope,
    Lend,
    RecordMessage,
    Renew,
    Return,
    SlotMessage,
    TargetNotice,
    Usage,
)
from currantline.peer._server import PeerHandler, PeerServer

__all__ = [
    "MAX_MESSAGE_BYTES",
    "Demand",
    "Envelope",
    "Lend",
    "LimitedCodec",
    "PeerClient",
    "PeerHandler",
    "PeerOptions",
    "PeerServer",
    "RecordMessage",
    "Renew",
    "Return",
    "SlotMessage",
    "TargetNotice",
    "Usage",
    "decode_envelope",
    "decode_gossip",
    "decode_records",
    "encode_envelope",
    "encode_gossip",
    "encode_records",
]
