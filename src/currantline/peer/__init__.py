"""Calls between instances over gRPC."""

from currantline.peer._client import PeerClient, PeerOptions
from currantline.peer._codec import (
    MAX_MESSAGE_BYTES,
    LimitedCodec,
    decode_ack,
    decode_envelope,
    decode_gossip,
    decode_records,
    encode_ack,
    encode_envelope,
    encode_gossip,
    encode_records,
)
from currantline.peer._messages import Envelope, RecordMessage
from currantline.peer._outbox import Outbox
from currantline.peer._server import PeerHandler, PeerServer

__all__ = [
    "MAX_MESSAGE_BYTES",
    "Envelope",
    "LimitedCodec",
    "Outbox",
    "PeerClient",
    "PeerHandler",
    "PeerOptions",
    "PeerServer",
    "RecordMessage",
    "decode_ack",
    "decode_envelope",
    "decode_gossip",
    "decode_records",
    "encode_ack",
    "encode_envelope",
    "encode_gossip",
    "encode_records",
]
