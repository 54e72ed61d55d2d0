"""Answers to other instances."""

from collections.abc import Callable

import attrs

from currantline.clock import Clock
from currantline.configuration import History, encode_record
from currantline.dispatch import Message
from currantline.load import RequestedTargets, TargetNotice, TargetTracker
from currantline.membership import Gossip, MembershipTask
from currantline.peer import Envelope, RecordMessage

__all__ = ["InstanceHandler"]


@attrs.frozen(kw_only=True)
class InstanceHandler:
    """Passes what other instances send to the parts that it concerns.

    Parameters
    ----------
    membership : MembershipTask
        Takes gossip.
    history : History
        Has configuration records.
    target_tracker : TargetTracker
        Takes and gives target notices.
    asked : RequestedTargets
        Notes the targets that evidence is asked for.
    receive : callable
        Takes the sender and a slot message.
    clock : Clock
        Source of time.
    """

    membership: MembershipTask
    history: History
    target_tracker: TargetTracker
    asked: RequestedTargets
    receive: Callable[[str, Message], None]
    clock: Clock

    def answer_gossip(self, question: Gossip) -> Gossip:
        """Return the answer to a question."""
        return self.membership.answer(question)

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
            self.target_tracker.merge_notice(notice, now)
        for message in envelope.messages:
            self.receive(envelope.sender, message)
        if envelope.asked:
            self.asked.add(envelope.asked, now)
        return self.target_tracker.find_notices(envelope.asked, now)
