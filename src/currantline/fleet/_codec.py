"""Heartbeats as datagrams."""

import json
from collections.abc import Sequence

from currantline.exceptions import PeerError
from currantline.fleet._member import Heartbeat, Member, MemberStatus

__all__ = ["decode_heartbeat", "encode_heartbeat"]

FORMAT = 1


def encode_heartbeat(heartbeat: Heartbeat, data_centres: Sequence[str]) -> bytes:
    """Return a heartbeat as bytes.

    Parameters
    ----------
    heartbeat : Heartbeat
        The heartbeat.
    data_centres : sequence of str
        Names of all data centres, the same on all instances.
    """
    members = (heartbeat.sender, *heartbeat.others)
    rows = [
        [
            member.host,
            data_centres.index(member.data_centre),
            member.incarnation,
            member.beat,
            int(member.status) | int(member.can_read) << 2,
            member.revision,
            member.digest,
        ]
        for member in members
    ]
    return json.dumps([FORMAT, rows], separators=(",", ":")).encode()


def decode_heartbeat(data: bytes, data_centres: Sequence[str]) -> Heartbeat:
    """Return the heartbeat in a datagram.

    Raises
    ------
    PeerError
        If the datagram is not a heartbeat of this format.
    """
    try:
        version, rows = json.loads(data)
        if version != FORMAT:
            raise PeerError(f"unknown heartbeat format {version!r}")
        members = [_decode_member(row, data_centres) for row in rows]
        return Heartbeat(sender=members[0], others=tuple(members[1:]))
    except (ValueError, TypeError, IndexError) as error:
        raise PeerError(f"not a heartbeat: {error}") from error


def _decode_member(row: list[int | str], data_centres: Sequence[str]) -> Member:
    host, place, incarnation, beat, flags, revision, digest = row
    return Member(
        host=str(host),
        data_centre=data_centres[int(place)],
        incarnation=int(incarnation),
        beat=int(beat),
        status=MemberStatus(int(flags) & 3),
        can_read=bool(int(flags) & 4),
        revision=int(revision),
        digest=int(digest),
    )
