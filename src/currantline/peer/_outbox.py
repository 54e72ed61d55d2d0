"""Outgoing slot messages and target notices, in batches."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from eliot import log_message

from currantline.dispatch import Message
from currantline.exceptions import PeerError, WireError
from currantline.load import TargetNotice
from currantline.peer._messages import Envelope

__all__ = ["Outbox"]

# More calls at a time to one instance do not arrive sooner; they only wait in its
# connection.
MAX_CALLS = 4
MAX_WAITING = 10_000


@attrs.define
class _Queue:
    messages: list[Message] = attrs.field(factory=list)
    notices: list[TargetNotice] = attrs.field(factory=list)
    calls: int = 0


class Outbox:
    """Sends messages to instances without waiting for them.

    All that is added for an instance in one step of the loop goes in one call.
    Messages to an instance that cannot be reached are dropped: each of them is
    repeated or replaced by its sender's own timers.

    Parameters
    ----------
    name : str
        Name of this instance.
    find_address : callable
        Takes the name of an instance and returns its peer address, or None.
    deliver : callable
        Coroutine function that takes a peer address and an envelope.
    """

    def __init__(
        self,
        name: str,
        *,
        find_address: Callable[[str], str | None],
        deliver: Callable[[str, Envelope], Awaitable[Any]],
    ) -> None:
        self._name = name
        self._find_address = find_address
        self._deliver = deliver
        self._queues: dict[str, _Queue] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.dropped = 0

    def add(self, instance: str, message: Message) -> None:
        """Queue a slot message for an instance."""
        queue = self._find_queue(instance)
        if len(queue.messages) >= MAX_WAITING:
            self.dropped += 1
            return
        queue.messages.append(message)
        self._plan(instance, queue)

    def add_notices(self, instance: str, notices: list[TargetNotice]) -> None:
        """Queue target notices for an instance; newer ones replace older ones."""
        queue = self._find_queue(instance)
        names = {notice.target for notice in notices}
        kept = [notice for notice in queue.notices if notice.target not in names]
        queue.notices = kept + notices
        self._plan(instance, queue)

    async def stop(self) -> None:
        """Give up all calls."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _find_queue(self, instance: str) -> _Queue:
        return self._queues.setdefault(instance, _Queue())

    def _plan(self, instance: str, queue: _Queue) -> None:
        if queue.calls >= MAX_CALLS:
            return
        queue.calls += 1
        task = asyncio.get_running_loop().create_task(self._send(instance, queue))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, instance: str, queue: _Queue) -> None:
        try:
            while queue.messages or queue.notices:
                envelope = Envelope(
                    sender=self._name,
                    messages=tuple(queue.messages),
                    notices=tuple(queue.notices),
                )
                queue.messages.clear()
                queue.notices.clear()
                await self._call(instance, envelope)
        finally:
            queue.calls -= 1

    async def _call(self, instance: str, envelope: Envelope) -> None:
        address = self._find_address(instance)
        if address is None:
            self.dropped += len(envelope.messages)
            return
        try:
            await self._deliver(address, envelope)
        except (PeerError, WireError) as error:
            self.dropped += len(envelope.messages)
            log_message("currantline:outbox", peer=instance, error=str(error))
