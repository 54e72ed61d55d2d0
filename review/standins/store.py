"""The platform's metadata store, for reading."""

import asyncio
import base64
import contextlib
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins.messages import Message, encode, read_message, run_while_open

__all__ = ["Store"]

PAGE_ITEMS = 500

REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


@dataclass(frozen=True)
class _Change:
    key: str
    revision: int
    value: bytes | None

    def describe(self) -> dict[str, Any]:
        """Return the item or event as the store sends it."""
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "removed": True}
        text = base64.b64encode(self.value).decode()
        return {
            "key": self.key,
            "value": text,
            "revision": self.revision,
            "createRevision": self.revision,
            "lease": 0,
        }


class Store:
    """Holds items, lists them in pages and lets callers watch changes."""

    def __init__(self) -> None:
        self._items: dict[str, _Change] = {}
        self._changes: list[_Change] = []
        self._revision = 1
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        await asyncio.start_server(self._serve, host, port)

    def stop(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()

    def put(self, key: str, value: Mapping[str, Any]) -> None:
        """Write an item."""
        self._apply(key, json.dumps(value).encode())

    def remove(self, key: str) -> None:
        """Remove an item."""
        self._apply(key, None)

    def _apply(self, key: str, value: bytes | None) -> None:
        self._revision += 1
        change = _Change(key, self._revision, value)
        self._changes.append(change)
        if value is None:
            self._items.pop(key, None)
        else:
            self._items[key] = change
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError):
            while (request := await read_message(reader)) is not None:
                status, page = await run_while_open(reader, self._answer(request))
                headers = {"Content-Type": "application/json"}
                line = f"HTTP/1.1 {status} {REASONS[status]}"
                writer.write(encode(line, headers, json.dumps(page).encode()))
                await writer.drain()
        writer.transport.abort()
        self._writers.discard(writer)

    async def _answer(self, request: Message) -> tuple[int, dict[str, Any]]:
        url = urlsplit(request.start[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        prefix, after = query.get("prefix", ""), query.get("after", "")
        if url.path == "/-/kv-range":
            keys = [k for k in self._items if k.startswith(prefix) and k > after]
            page = [self._items[key].describe() for key in sorted(keys)[:PAGE_ITEMS]]
            is_truncated = len(keys) > PAGE_ITEMS
            revision = self._revision
            return 200, {
                "items": page,
                "truncated": is_truncated,
                "currentRev": revision,
            }
        if url.path == "/-/kv-watch":
            events = await self._watch(int(after), int(query["waitMs"]) / 1000)
            events = [change for change in events if change.key.startswith(prefix)]
            described = [change.describe() for change in events]
            return 200, {"events": described, "currentRev": self._revision}
        return 404, {}

    async def _watch(self, after: int, wait_s: float) -> list[_Change]:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self._revision <= after:
                    await self._changed.wait()
        return [change for change in self._changes if change.revision > after]
