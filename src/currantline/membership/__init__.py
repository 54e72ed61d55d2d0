"""Which instances are live, and who looks after what."""

from currantline.membership._contact import Contact
from currantline.membership._entry import InstanceEntry, Status, View
from currantline.membership._gossip import (
    Gossip,
    GossipRow,
    GossipState,
    IntroducedRow,
    row_key,
)
from currantline.membership._lease import ViewLease, combine_digest
from currantline.membership._options import MembershipOptions
from currantline.membership._published import (
    ListedInstance,
    ListedTarget,
    ListMemory,
    ListReader,
    PublishedList,
    parse_list,
)
from currantline.membership._readiness import Decision, Readiness
from currantline.membership._rendezvous import rank, rendezvous_score
from currantline.membership._table import GossipTable
from currantline.membership._task import Exchange, MembershipTask, ViewChanged

__all__ = [
    "Contact",
    "Decision",
    "Exchange",
    "Gossip",
    "GossipRow",
    "GossipState",
    "GossipTable",
    "InstanceEntry",
    "IntroducedRow",
    "ListMemory",
    "ListReader",
    "ListedInstance",
    "ListedTarget",
    "MembershipOptions",
    "MembershipTask",
    "PublishedList",
    "Readiness",
    "Status",
    "View",
    "ViewChanged",
    "ViewLease",
    "combine_digest",
    "parse_list",
    "rank",
    "rendezvous_score",
    "row_key",
]
