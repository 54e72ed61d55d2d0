"""Handles requests from peers."""

from collections.abc import Callable

import attrs

from currantline.clock import Clock
from currantline.configuration import History, encode_record
from currantline.dispatch import Message
from currantline.load import RequestedTargets, TargetNotice, TargetTracker
from currantline.membership import Gossip, MembershipTask
from currantline.peer import Envelope, RecordMessage

__all__ = ["PeerRequestHandler"]


@attrs.frozen(kw_only=True)
class PeerRequestHandler:
    """Dispatches the messages of peers to the components that handle them.

    Parameters
    ----------
    membership : MembershipTask
        Handles gossip requests.
    history : History
        Stores the configuration records.
    target_tracker : TargetTracker
        Merges and returns target notices.
    asked : RequestedTargets
        Records the targets for which peers request evidence.
    receive : callable
        Handles a slot message; takes its sender and the message.
    clock : Clock
        Source of time.
    """

    membership: MembershipTask
    history: History
    target_tracker: TargetTracker
    asked: RequestedTargets
    receive: Callable[[str, Message], None]
    clock: Clock

    def handle_gossip(self, request: Gossip) -> Gossip:
        """Return the response to a gossip request."""
        return self.membership.handle_request(request)

    def list_records(self, after: int) -> tuple[RecordMessage, ...]:
        """Return the records with a higher sequence, in order."""
        return tuple(
            RecordMessage(sequence=record.sequence, document=encode_record(record))
            for record in self.history.records_after(after)
        )

    def handle_envelope(self, envelope: Envelope) -> tuple[TargetNotice, ...]:
        """Process a batch of messages and return the evidence that it requests."""
        now = self.clock.read()
        for notice in envelope.notices:
            self.target_tracker.merge_notice(notice, now)
        for message in envelope.messages:
            self.receive(envelope.sender, message)
        if envelope.asked:
            self.asked.add(envelope.asked, now)
        return self.target_tracker.find_notices(envelope.asked, now)
