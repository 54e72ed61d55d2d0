"""Handles requests from peers."""

from collections.abc import Callable

import attrs

from currantline.clock import Clock
from currantline.configuration import History, encode_record
from currantline.dispatch import Message
from currantline.load import AskedTargets, TargetBook, TargetNotice
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
    book : TargetBook
        Merges and returns target notices.
    asked : AskedTargets
        Records the targets for which peers request evidence.
    receive : callable
        Handles a slot message; takes its sender and the message.
    clock : Clock
        Source of time.
    """

    membership: MembershipTask
    history: History
    book: TargetBook
    asked: AskedTargets
    receive: Callable[[str, Message], None]
    clock: Clock

    def answer_gossip(self, request: Gossip) -> Gossip:
        """Return the response to a gossip request."""
        return self.membership.handle_request(request)

    def list_records(self, after: int) -> tuple[RecordMessage, ...]:
        """Return the records with a higher sequence, in order."""
        return tuple(
            RecordMessage(sequence=record.sequence, document=encode_record(record))
            for record in self.history.records_after(after)
        )

    def take_envelope(self, envelope: Envelope) -> tuple[TargetNotice, ...]:
        """Process a batch of messages and return the evidence that it requests."""
        now = self.clock.read()
        for notice in envelope.notices:
            self.book.merge_notice(notice, now)
        for message in envelope.messages:
            self.receive(envelope.sender, message)
        if envelope.asked:
            self.asked.add(envelope.asked, now)
        return self.book.answer(envelope.asked, now)
