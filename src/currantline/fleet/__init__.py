"""The instances of the fleet: who is there, and who reads the platform."""

from currantline.fleet._addresses import choose_hosts
from currantline.fleet._codec import decode_heartbeat, encode_heartbeat
from currantline.fleet._member import Heartbeat, Member, MemberStatus
from currantline.fleet._roster import Roster
from currantline.fleet._task import FleetTask

__all__ = [
    "FleetTask",
    "Heartbeat",
    "Member",
    "MemberStatus",
    "Roster",
    "choose_hosts",
    "decode_heartbeat",
    "encode_heartbeat",
]
