"""Answers to other instances."""

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
    """Passes what other instances send to the parts that it concerns.

    Parameters
    ----------
    membership : MembershipTask
        Takes gossip.
    history : History
        Has configuration records.
    book : TargetBook
        Takes and gives target notices.
    asked : AskedTargets
        Notes the targets that evidence is asked for.
    receive : callable
        Takes the sender and a slot message.
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
        """Return the answer to a question."""
        return self.membership.handle_request(request)

    def list_records(self, after: int) -> tuple[RecordMessage, ...]:
        """Return the records above a sequence, in order."""
        return tuple(
            RecordMessage(sequence=record.sequence, document=encode_record(record))
            for record in self.history.records_after(after)
        )

    def take_envelope(self, envelope: Envelope) -> tuple[TargetNotice, ...]:
        """Take over a batch of messages and return evidence that it asks for."""
        now = self.clock.read()
        for notice in envelope.notices:
            self.book.merge_notice(notice, now)
        for message in envelope.messages:
            self.receive(envelope.sender, message)
        if envelope.asked:
            self.asked.add(envelope.asked, now)
        return self.book.answer(envelope.asked, now)
