"""JSON encoding of datagrams between instances."""

import functools
import json
from collections.abc import Sequence

from currantline.exceptions import MALFORMED_DATA_ERRORS, PeerError
from currantline.fleet._member import (
    Datagram,
    DatagramKind,
    Health,
    Member,
    MemberStatus,
)
from currantline.fleet._weight import DEFAULT_WEIGHT, MAX_WEIGHT
from currantline.validators import is_ip

__all__ = ["decode_datagram", "encode_datagram"]

FORMAT_VERSION = 2

# Indexed by value; a tuple look-up takes a fraction of the time of an enum call.
MEMBER_STATUSES = tuple(MemberStatus)
HEALTH_STATES = tuple(Health)

# Maximum number of hosts that are known to be IP addresses.
MAX_KNOWN_HOSTS = 1_024


def encode_datagram(datagram: Datagram, data_centres: Sequence[str]) -> bytes:
    """Encode a datagram.

    Parameters
    ----------
    datagram : Datagram
        Datagram to encode.
    data_centres : sequence of str
        Names of all data centres, in the same order on all instances.
    """
    members = (datagram.sender, *datagram.members)
    rows = [_encode_member(member, data_centres) for member in members]
    document = [
        FORMAT_VERSION,
        datagram.kind,
        datagram.sequence_number,
        datagram.subject,
        datagram.known_count,
        datagram.revision,
        datagram.digest,
        rows,
    ]
    return json.dumps(document, separators=(",", ":")).encode()


def decode_datagram(data: bytes, data_centres: Sequence[str]) -> Datagram:
    """Decode a datagram.

    Raises
    ------
    PeerError
        If the data is malformed or has another format version.
    """
    try:
        (
            format_version,
            kind,
            sequence_number,
            subject,
            known_count,
            revision,
            digest,
            rows,
        ) = json.loads(data)
        if format_version != FORMAT_VERSION:
            raise PeerError(f"unsupported datagram format version {format_version!r}")
        members = [_decode_member(row, data_centres) for row in rows]
        return Datagram(
            kind=DatagramKind(kind),
            sequence_number=int(sequence_number),
            subject=str(subject),
            sender=members[0],
            known_count=int(known_count),
            revision=int(revision),
            digest=int(digest),
            members=tuple(members[1:]),
        )
    except MALFORMED_DATA_ERRORS as error:
        raise PeerError(f"malformed datagram: {error}") from error


def _encode_member(member: Member, data_centres: Sequence[str]) -> list[int | str]:
    row: list[int | str] = [
        member.host,
        data_centres.index(member.data_centre),
        member.incarnation,
        member.version,
        member.status | member.can_reach_platform << 2 | member.health << 3,
    ]
    # Most instances have the default weight, and a datagram must fit into one packet.
    return row if member.weight == DEFAULT_WEIGHT else [*row, member.weight]


def _decode_member(row: list[int | str], data_centres: Sequence[str]) -> Member:
    host, data_centre_index, incarnation, version, flags, *weight = row
    if len(weight) > 1:
        raise PeerError(f"a member with {len(row)} fields")
    return Member(
        host=_check_host(str(host)),
        data_centre=data_centres[int(data_centre_index)],
        incarnation=int(incarnation),
        version=int(version),
        status=MEMBER_STATUSES[int(flags) & 3],
        can_reach_platform=bool(int(flags) & 4),
        health=HEALTH_STATES[int(flags) >> 3],
        weight=_check_weight(int(weight[0])) if weight else DEFAULT_WEIGHT,
    )


def _check_weight(weight: int) -> int:
    if not DEFAULT_WEIGHT <= weight <= MAX_WEIGHT:
        raise PeerError(f"weight {weight!r:.20} is out of range")
    return weight


@functools.lru_cache(maxsize=MAX_KNOWN_HOSTS)
def _check_host(host: str) -> str:
    # The socket looks names up, which blocks the event loop, and is closed for good by
    # what it does not accept.
    if not is_ip(host):
        raise PeerError(f"{host!r:.80} is not an IP address")
    return host
