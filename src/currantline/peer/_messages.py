"""Messages between instances other than gossip."""

import attrs

from currantline.dispatch import Message
from currantline.load import TargetNotice

__all__ = ["Envelope", "RecordMessage"]


@attrs.frozen(kw_only=True)
class RecordMessage:
    """Configuration record on its way.

    Parameters
    ----------
    sequence : int
        Position in the configuration service.
    document : bytes
        The record as JSON.
    """

    sequence: int
    document: bytes


@attrs.frozen(kw_only=True)
class Envelope:
    """Batch of messages to one instance.

    Parameters
    ----------
    sender : str
        Name of the sender.
    messages : tuple of Message
        Slot messages in order.
    notices : tuple of TargetNotice
        Evidence about targets.
    asked : tuple of str
        Names of targets whose evidence is asked for.
    """

    sender: str
    messages: tuple[Message, ...] = ()
    notices: tuple[TargetNotice, ...] = ()
    asked: tuple[str, ...] = ()
