"""Stand-in for the store of the platform: pages, watches and revisions."""

import asyncio
import base64
import contextlib
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from doubles.messages import encode_head, read_message

__all__ = ["Store"]

PAGE_ITEMS = 500


class Store:
    """A key-value store that instances read and watch."""

    def __init__(self) -> None:
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 1
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        """Stop to listen."""
        if self._server is not None:
            self._server.close()

    def put(self, key: str, document: Any) -> int:
        """Write an item and return its revision, which acknowledges it."""
        self._revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        item = {"key": key, "value": value, "revision": self._revision, "lease": 0}
        known = self._items.get(key)
        item["createRevision"] = known["createRevision"] if known else self._revision
        self._items[key] = item
        self._add_event(item)
        return self._revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        self._revision += 1
        del self._items[key]
        self._add_event({"key": key, "revision": self._revision, "removed": True})

    def _add_event(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                await asyncio.sleep(0.004)
                status, document = await self._answer(request.start[1])
                body = json.dumps(document).encode()
                head = {
                    "Content-Type": "application/json",
                    "Content-Length": str(len(body)),
                }
                writer.write(encode_head(f"HTTP/1.1 {status} -", head) + body)
                await writer.drain()
        writer.close()

    async def _answer(self, target: str) -> tuple[int, dict[str, Any]]:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        prefix = query.get("prefix", "")
        if url.path == "/-/kv-range":
            return 200, self._list(prefix, query.get("after", ""))
        if url.path == "/-/kv-watch":
            return await self._watch(prefix, int(query["after"]), int(query["waitMs"]))
        return 404, {}

    def _list(self, prefix: str, after: str) -> dict[str, Any]:
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        return {
            "items": [self._items[key] for key in keys[:PAGE_ITEMS]],
            "truncated": len(keys) > PAGE_ITEMS,
            "currentRev": self._revision,
        }

    async def _watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> tuple[int, dict[str, Any]]:
        if after > self._revision:
            return 410, {}
        events: list[dict[str, Any]] = []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000):
                while not (events := self._list_events(prefix, after)):
                    await self._changed.wait()
        return 200, {"events": events, "currentRev": self._revision}

    def _list_events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
