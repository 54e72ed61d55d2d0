"""SWIM membership, reader election and replica synchronisation between instances."""

from currantline.fleet._addresses import choose_hosts
from currantline.fleet._codec import decode_datagram, encode_datagram
from currantline.fleet._member import (
    Datagram,
    DatagramKind,
    Health,
    Member,
    MemberStatus,
)
from currantline.fleet._membership_list import MembershipList
from currantline.fleet._probes import ProbeTracker, TimedOutProbe
from currantline.fleet._protocol import MembershipProtocol
from currantline.fleet._replica_puller import ReplicaPuller
from currantline.fleet._weight import find_weight

__all__ = [
    "Datagram",
    "DatagramKind",
    "Health",
    "Member",
    "MemberStatus",
    "MembershipList",
    "MembershipProtocol",
    "ProbeTracker",
    "ReplicaPuller",
    "TimedOutProbe",
    "choose_hosts",
    "decode_datagram",
    "encode_datagram",
    "find_weight",
]
