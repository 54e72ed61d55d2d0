"""Datagrams between instances as JSON."""

import json
from collections.abc import Sequence

from currantline.exceptions import PeerError
from currantline.fleet._member import (
    Datagram,
    DatagramKind,
    Health,
    Member,
    MemberStatus,
)

__all__ = ["decode_datagram", "encode_datagram"]

FORMAT_VERSION = 2

# By number; a look-up takes a fraction of the time of a call of the enumeration.
MEMBER_STATUSES = tuple(MemberStatus)
HEALTH_STATES = tuple(Health)


def encode_datagram(datagram: Datagram, data_centres: Sequence[str]) -> bytes:
    """Return a datagram as bytes.

    Parameters
    ----------
    datagram : Datagram
        The datagram.
    data_centres : sequence of str
        Names of all data centres, the same on all instances.
    """
    members = (datagram.sender, *datagram.members)
    rows = [
        [
            member.host,
            data_centres.index(member.data_centre),
            member.incarnation,
            member.version,
            member.status | member.can_reach_platform << 2 | member.health << 3,
        ]
        for member in members
    ]
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
    """Return the message in a datagram.

    Raises
    ------
    PeerError
        If it is not of this format.
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
            raise PeerError(f"unknown datagram format {format_version!r}")
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
    except (ValueError, TypeError, IndexError) as error:
        raise PeerError(f"not a datagram of an instance: {error}") from error


def _decode_member(row: list[int | str], data_centres: Sequence[str]) -> Member:
    host, data_centre_index, incarnation, version, flags = row
    return Member(
        host=str(host),
        data_centre=data_centres[int(data_centre_index)],
        incarnation=int(incarnation),
        version=int(version),
        status=MEMBER_STATUSES[int(flags) & 3],
        can_reach_platform=bool(int(flags) & 4),
        health=HEALTH_STATES[int(flags) >> 3],
    )
