"""Conversion between attrs values and protobuf messages."""

import math
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import attrs
from google.protobuf.message import DecodeError, Message
from grpclib.encoding.base import CodecBase

from currantline import dispatch
from currantline.exceptions import InvalidValueError, WireError
from currantline.load import TargetNotice, TargetState
from currantline.membership import (
    FullRow,
    Gossip,
    GossipRow,
    GossipState,
    InstanceEntry,
    Status,
)
from currantline.peer._generated import peer_pb2 as pb
from currantline.peer._messages import Envelope, RecordMessage
from currantline.validators import check_address

__all__ = [
    "MAX_MESSAGE_BYTES",
    "LimitedCodec",
    "decode_ack",
    "decode_envelope",
    "decode_gossip",
    "decode_records",
    "encode_ack",
    "encode_envelope",
    "encode_gossip",
    "encode_records",
]

# Two records of the largest size that the configuration service stores (1 MB).
MAX_MESSAGE_BYTES = 2 * 1024 * 1024 + 64 * 1024
# 38 instances are the largest deployment; the rest is for replaced ones.
MAX_ROWS = 1024
MAX_BATCH = 10_000
MAX_NAME_CHARACTERS = 256
# An age of a day is as good as any longer one.
MAX_AGE_UNITS = 8_640_000
AGE_UNIT_MS = 10.0

STATUSES = (Status.STARTING, Status.READY, Status.LEAVING)

M = TypeVar("M", bound=Message)


class LimitedCodec(CodecBase):
    """Codec of grpclib that bounds sizes and raises typed errors."""

    __content_subtype__ = "proto"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes of a message.

        Raises
        ------
        WireError
            If the message is too large for its receiver.
        """
        data: bytes = message.SerializeToString()
        if len(data) > MAX_MESSAGE_BYTES:
            raise WireError(f"message of {len(data)} bytes is too large")
        return data

    def decode(self, data: bytes, message_type: Callable[[], M]) -> M:
        """Return the message of some bytes.

        Raises
        ------
        WireError
            If the bytes are too many or no such message.
        """
        if len(data) > MAX_MESSAGE_BYTES:
            raise WireError(f"message of {len(data)} bytes is too large")
        message = message_type()
        try:
            message.ParseFromString(data)
        except DecodeError as error:
            raise WireError(f"malformed message: {error}") from error
        return message


def encode_gossip(gossip: Gossip) -> pb.Gossip:
    """Return the message of one direction of an exchange."""
    states: dict[GossipState, int] = {}
    for row in gossip.rows:
        states.setdefault(row.state, len(states))
    for known in gossip.introduced:
        states.setdefault(GossipState.from_entry(known.entry), len(states))
    places = [states[row.state] for row in gossip.rows]
    return pb.Gossip(
        sender=gossip.sender,
        keys=() if gossip.omits_keys else [row.key for row in gossip.rows],
        heartbeats=[row.heartbeat for row in gossip.rows],
        ages=[_encode_age(row.age_ms) for row in gossip.rows],
        row_states=places if any(places) else (),
        states=[_encode_state(state) for state in states],
        instances=[_encode_instance(known, states) for known in gossip.introduced],
        unknown=gossip.unknown,
        lease_digest=gossip.lease_digest,
        set_digest=gossip.set_digest,
        omits_keys=gossip.omits_keys,
        needs_keys=gossip.needs_keys,
        proofs=[0 if p is None else 1 + _encode_age(p) for p in gossip.proofs],
    )


def decode_gossip(message: pb.Gossip) -> Gossip:
    """Return the value of a gossip message.

    Raises
    ------
    WireError
        If the message contradicts itself or a field is not allowed.
    """
    count = len(message.heartbeats)
    _check_count(message.heartbeats, MAX_ROWS, "rows")
    keys = [0] * count if message.omits_keys else message.keys
    # Most messages have one state, and its positions are left out.
    places = message.row_states or [0] * count
    columns = (keys, message.heartbeats, message.ages, places)
    if len({len(column) for column in columns}) != 1:
        raise WireError("columns of gossip rows differ in length")
    for column in (message.instances, message.unknown, message.proofs, message.states):
        _check_count(column, MAX_ROWS, "rows")
    states = [_decode_state(state) for state in message.states]
    return Gossip(
        sender=_check_name(message.sender, "sender"),
        rows=tuple(
            GossipRow(
                key=key,
                heartbeat=heartbeat,
                age_ms=age * AGE_UNIT_MS,
                state=_find_state(states, state),
            )
            for key, heartbeat, age, state in zip(*columns, strict=True)
        ),
        introduced=tuple(_decode_instance(i, states) for i in message.instances),
        unknown=tuple(message.unknown),
        lease_digest=message.lease_digest,
        set_digest=message.set_digest,
        omits_keys=message.omits_keys,
        needs_keys=message.needs_keys,
        proofs=tuple((p - 1) * AGE_UNIT_MS if p else None for p in message.proofs),
    )


def encode_records(records: Iterable[RecordMessage]) -> pb.Records:
    """Return the message of configuration records."""
    return pb.Records(records=[pb.Record(**_as_fields(r)) for r in records])


def decode_records(message: pb.Records) -> tuple[RecordMessage, ...]:
    """Return the values of configuration records.

    Raises
    ------
    WireError
        If a record is out of order.
    """
    _check_count(message.records, MAX_BATCH, "records")
    last = 0
    for record in message.records:
        if record.sequence <= last:
            raise WireError(f"record {record.sequence} follows record {last}")
        last = record.sequence
    return tuple(_decode_record(record) for record in message.records)


def encode_envelope(envelope: Envelope) -> pb.Envelope:
    """Return the message of a batch."""
    return pb.Envelope(
        sender=envelope.sender,
        messages=[_encode_slot_message(message) for message in envelope.messages],
        notices=[_encode_notice(notice) for notice in envelope.notices],
        asked=envelope.asked,
    )


def decode_envelope(message: pb.Envelope) -> Envelope:
    """Return the value of a batch.

    Raises
    ------
    WireError
        If a message is empty or a field is not allowed.
    """
    _check_count(message.messages, MAX_BATCH, "slot messages")
    _check_count(message.notices, MAX_BATCH, "target notices")
    _check_count(message.asked, MAX_BATCH, "names of targets")
    return Envelope(
        sender=_check_name(message.sender, "sender"),
        messages=tuple(_decode_slot_message(each) for each in message.messages),
        notices=tuple(_decode_notice(each) for each in message.notices),
        asked=tuple(_check_name(name, "asked") for name in message.asked),
    )


def encode_ack(notices: Iterable[TargetNotice]) -> pb.Ack:
    """Return the answer to a batch."""
    return pb.Ack(notices=[_encode_notice(notice) for notice in notices])


def decode_ack(message: pb.Ack) -> tuple[TargetNotice, ...]:
    """Return the notices in the answer to a batch.

    Raises
    ------
    WireError
        If a notice is not allowed.
    """
    _check_count(message.notices, MAX_BATCH, "target notices")
    return tuple(_decode_notice(each) for each in message.notices)


def _encode_age(age_ms: float) -> int:
    # Rounded up: an age that is too low would outlive the promise behind it.
    return min(MAX_AGE_UNITS, math.ceil(max(age_ms, 0.0) / AGE_UNIT_MS))


def _encode_state(state: GossipState) -> pb.State:
    return pb.State(
        status=STATUSES.index(state.status),
        sequence=state.sequence,
        version=state.version,
        view_digest=state.view_digest,
        configuration_digest=state.configuration_digest,
    )


def _decode_state(message: pb.State) -> GossipState:
    if message.status >= len(STATUSES):
        raise WireError(f"{message.status} is not a status")
    return GossipState(
        status=STATUSES[message.status],
        sequence=message.sequence,
        version=message.version,
        view_digest=message.view_digest,
        configuration_digest=message.configuration_digest,
    )


def _find_state(states: list[GossipState], index: int) -> GossipState:
    if index >= len(states):
        raise WireError(f"a row refers to state {index} of {len(states)}")
    return states[index]


def _encode_instance(row: FullRow, states: dict[GossipState, int]) -> pb.Instance:
    entry = row.entry
    return pb.Instance(
        name=entry.name,
        data_centre=entry.data_centre,
        caller_address=entry.caller_address,
        peer_address=entry.peer_address,
        incarnation=entry.incarnation,
        heartbeat=entry.heartbeat,
        age=_encode_age(row.age_ms),
        state=states[GossipState.from_entry(entry)],
    )


def _decode_instance(message: pb.Instance, states: list[GossipState]) -> FullRow:
    entry = InstanceEntry(
        name=_check_name(message.name, "name"),
        data_centre=_check_name(message.data_centre, "data_centre"),
        caller_address=_check_address(message.caller_address),
        peer_address=_check_address(message.peer_address),
        incarnation=message.incarnation,
    )
    state = _find_state(states, message.state)
    return FullRow(
        entry=state.apply(entry, message.heartbeat), age_ms=message.age * AGE_UNIT_MS
    )


def _decode_record(message: pb.Record) -> RecordMessage:
    return RecordMessage(sequence=message.sequence, document=message.document)


def _encode_notice(notice: TargetNotice) -> pb.TargetNotice:
    return pb.TargetNotice(
        target=notice.target, state=notice.state.value, age_ms=notice.age_ms
    )


def _decode_notice(message: pb.TargetNotice) -> TargetNotice:
    if not 0 <= message.age_ms < math.inf:
        raise WireError(f"age_ms is {message.age_ms}")
    try:
        state = TargetState(message.state)
    except ValueError as error:
        raise WireError(f"{message.state!r} is no state of a target") from error
    name = _check_name(message.target, "target")
    return TargetNotice(target=name, state=state, age_ms=message.age_ms)


def _encode_slot_message(value: dispatch.Message) -> pb.SlotMessage:
    match value:
        case dispatch.Demand():
            return pb.SlotMessage(demand=pb.Demand(**_as_fields(value)))
        case dispatch.Lend():
            return pb.SlotMessage(lend=pb.Lend(**_as_fields(value)))
        case dispatch.Renew():
            return pb.SlotMessage(renew=pb.Renew(**_as_fields(value)))
        case dispatch.Return():
            return pb.SlotMessage(return_loan=pb.Return(**_as_fields(value)))
        case dispatch.Usage():
            return pb.SlotMessage(usage=pb.Usage(**_as_fields(value)))


def _decode_slot_message(message: pb.SlotMessage) -> dispatch.Message:
    match message.WhichOneof("message"):
        case "demand":
            return _decode(dispatch.Demand, message.demand)
        case "lend":
            return _decode(dispatch.Lend, message.lend)
        case "renew":
            return _decode(dispatch.Renew, message.renew)
        case "return_loan":
            return _decode(dispatch.Return, message.return_loan)
        case "usage":
            return _decode(dispatch.Usage, message.usage)
    raise WireError("empty slot message")


V = TypeVar("V")


def _decode(kind: type[V], message: Message) -> V:
    names = [field.name for field in message.DESCRIPTOR.fields]
    fields = {name: getattr(message, name) for name in names}
    for name, value in fields.items():
        if isinstance(value, str):
            _check_name(value, name)
        elif not 0 <= value < math.inf:
            raise WireError(f"{name} is {value}")
    return kind(**fields)


def _as_fields(value: Any) -> dict[str, Any]:
    return attrs.asdict(value, recurse=False)


def _check_name(value: str, field: str) -> str:
    if not 0 < len(value) <= MAX_NAME_CHARACTERS or not value.isprintable():
        raise WireError(f"{field} is empty, too long or not printable")
    return value


def _check_address(value: str) -> str:
    try:
        check_address(None, attrs.fields(InstanceEntry).peer_address, value)
    except InvalidValueError as error:
        raise WireError(error.message) from error
    return value


def _check_count(items: Any, limit: int, what: str) -> None:
    if len(items) > limit:
        raise WireError(f"{len(items)} {what} are more than {limit}")
