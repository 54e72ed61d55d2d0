"""Channels to other instances."""

import asyncio
import random
from typing import Any

import attrs
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from currantline.clock import Clock
from currantline.exceptions import PeerError, PeerTimeoutError, WireError
from currantline.load import TargetNotice
from currantline.membership import Gossip
from currantline.peer._codec import (
    LimitedCodec,
    decode_ack,
    decode_gossip,
    decode_records,
    encode_envelope,
    encode_gossip,
)
from currantline.peer._generated import peer_pb2 as pb
from currantline.peer._generated.peer_grpc import PeerStub
from currantline.peer._messages import Envelope, RecordMessage

__all__ = ["PeerClient", "PeerOptions"]

MAX_DOUBLINGS = 10


@attrs.frozen(kw_only=True)
class PeerOptions:
    """Times of the channels to other instances.

    Parameters
    ----------
    peer_timeout_ms : float
        Longest time of one call, in milliseconds.
    backoff_ms : float
        Time without calls after a first failure, in milliseconds.
    max_backoff_ms : float
        Longest time without calls, in milliseconds.
    """

    peer_timeout_ms: float = 500.0
    backoff_ms: float = 100.0
    # A healed partition is found within this time and one gossip interval.
    max_backoff_ms: float = 2000.0


@attrs.define
class _Link:
    channel: Channel | None = None
    failures: int = 0
    retry_at: float = float("-inf")


class PeerClient:
    """Calls other instances over one channel for each address.

    Parameters
    ----------
    clock : Clock
        Source of time.
    rng : random.Random
        Source of jitter.
    options : PeerOptions, optional
        Times.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        options: PeerOptions | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._options = options or PeerOptions()
        self._links: dict[str, _Link] = {}

    async def exchange(self, address: str, question: Gossip) -> Gossip:
        """Send a question and return the answer.

        Raises
        ------
        PeerError
            If no answer came, or the peer refused the question.
        WireError
            If the answer cannot be used.
        """
        answer = await self._call(address, "Exchange", encode_gossip(question))
        return decode_gossip(answer)

    async def fetch_records(
        self, address: str, after: int
    ) -> tuple[RecordMessage, ...]:
        """Return records above a sequence, in order; not always all of them.

        Raises
        ------
        PeerError
            If no answer came.
        WireError
            If the answer cannot be used.
        """
        answer = await self._call(address, "FetchRecords", pb.After(sequence=after))
        return decode_records(answer)

    async def deliver(
        self, address: str, envelope: Envelope
    ) -> tuple[TargetNotice, ...]:
        """Send a batch of messages and return evidence that it asks for.

        Raises
        ------
        PeerError
            If the batch was not acknowledged. It may have arrived all the same.
        WireError
            If the answer cannot be used.
        """
        answer = await self._call(address, "Deliver", encode_envelope(envelope))
        return decode_ack(answer)

    def retain(self, addresses: set[str]) -> None:
        """Close the channels to all other addresses."""
        for address in self._links.keys() - addresses:
            self._drop(self._links.pop(address))

    def close(self) -> None:
        """Close all channels."""
        self.retain(set())

    async def _call(self, address: str, method: str, message: Any) -> Any:
        link = self._links.setdefault(address, _Link())
        if self._clock.read() < link.retry_at:
            raise PeerError(f"{address} failed a short while ago")
        channel = self._open(link, address)
        try:
            async with asyncio.timeout(self._options.peer_timeout_ms / 1000):
                answer = await getattr(PeerStub(channel), method)(message)
        except TimeoutError as error:
            self._fail(link, channel)
            timeout_ms = self._options.peer_timeout_ms
            raise PeerTimeoutError(
                f"no answer from {address} in {timeout_ms:g} ms"
            ) from error
        except GRPCError as error:
            if error.status is not Status.INVALID_ARGUMENT:
                self._fail(link, channel)
            raise PeerError(f"{address} refused: {error.message}") from error
        except (OSError, StreamTerminatedError, ProtocolError) as error:
            self._fail(link, channel)
            raise PeerError(f"cannot reach {address}: {error}") from error
        except (AssertionError, NotImplementedError) as error:
            # What grpclib raises on a cut off or compressed message.
            self._fail(link, channel)
            raise WireError(f"malformed answer from {address}: {error}") from error
        except WireError:
            self._fail(link, channel)
            raise
        finally:
            if link.channel is not channel:
                # A call that waited for the connection opens it after the channel
                # was given up, and nothing else refers to it.
                channel.close()
        link.failures = 0
        return answer

    def _open(self, link: _Link, address: str) -> Channel:
        if link.channel is None:
            host, _, port = address.rpartition(":")
            link.channel = Channel(host.strip("[]"), int(port), codec=LimitedCodec())
        return link.channel

    def _fail(self, link: _Link, channel: Channel) -> None:
        if link.channel is not channel:
            # A call that ran on the same channel has closed it already.
            return
        self._drop(link)
        doublings = min(link.failures, MAX_DOUBLINGS)
        base = self._options.backoff_ms * float(1 << doublings)
        link.failures += 1
        delay_ms = min(base, self._options.max_backoff_ms)
        link.retry_at = self._clock.read() + delay_ms * self._rng.uniform(0.5, 1.0)

    def _drop(self, link: _Link) -> None:
        if link.channel is not None:
            link.channel.close()
            link.channel = None
