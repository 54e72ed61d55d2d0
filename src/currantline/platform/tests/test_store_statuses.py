"""Tests of the statuses of the store's answers."""

import asyncio

import pytest

from currantline.exceptions import PlatformError
from currantline.platform import StoreClient
from currantline.standin.network import Network, run_session
from currantline.wire import HttpClient

ADDRESS = ("10.0.0.1", 80)
INVALID = ["000", "100", "101", "199", "600", "700", "999", "2000", "+200", "20"]
BODY = b'{"items":[],"events":[],"currentRev":7}'


class _Store(asyncio.Protocol):
    def __init__(self, status: str) -> None:
        self._status = status

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        head = f"HTTP/1.1 {self._status} X\r\ncontent-length: {len(BODY)}\r\n\r\n"
        self._transport.write(head.encode("latin-1") + BODY)


class TestStatuses:
    """Statuses of the store's answers."""

    @pytest.mark.parametrize("status", [*INVALID, "500"])
    def test_invalid(self, status: str) -> None:
        """Guards against a status that is none and counts as an answer of the store."""

        async def session() -> None:
            loop = asyncio.get_running_loop()
            await loop.create_server(lambda: _Store(status), *ADDRESS)
            client = StoreClient(HttpClient("10.0.0.1:80"))
            with pytest.raises(PlatformError) as read:
                await client.read_all()
            with pytest.raises(PlatformError) as watched:
                await client.watch(7, wait_ms=100)
            for error in (read.value, watched.value):
                is_answer = str(error).endswith(f": status {status}")
                assert is_answer == (status == "500")

        run_session(Network(latency_ms=0.1), session())
