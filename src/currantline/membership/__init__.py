"""Which instances are live, and who looks after what."""

from currantline.membership._entry import InstanceEntry, Status, View
from currantline.membership._rendezvous import rank, rendezvous_score

__all__ = ["InstanceEntry", "Status", "View", "rank", "rendezvous_score"]
