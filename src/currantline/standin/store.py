"""Stand-in for the key-value store of the platform, with watches and faults."""

import asyncio
import base64
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

import attrs

from currantline.wire import Request, Response, json_response

__all__ = ["ERA_HEADER", "StandinStore", "StoreCopy"]

ERA_HEADER = "Store-Era"

# Small enough that tests with few items need several pages.
PAGE_SIZE = 5


@attrs.define(eq=False)
class _Change:
    key: str
    revision: int
    value: bytes | None


@attrs.frozen(eq=False)
class StoreCopy:
    """Content of the store at one moment.

    Parameters
    ----------
    revision : int
        Revision of the last change.
    items : dict
        Items by key.
    changes : tuple
        Changes that watches can request.
    compacted_revision : int
        Revision up to which changes have been discarded.
    """

    revision: int
    items: dict[str, _Change]
    changes: tuple[_Change, ...]
    compacted_revision: int


class StandinStore:
    """An in-memory key-value store with paged reads and long-polling watches.

    Attributes
    ----------
    is_down : bool
        Whether every call fails with status 503.
    era : int or None
        Number of times that the store was restored from a copy; None for a store that
        does not state it.
    call_count : int
        Number of calls received.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.era: int | None = None
        self.call_count = 0
        self._items: dict[str, _Change] = {}
        self._changes: list[_Change] = []
        self._compacted_revision = 0
        self._revision = 1
        self._changed = asyncio.Event()

    def put(self, key: str, value: Any) -> None:
        """Write an item; a value that is not bytes is encoded as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._apply(_Change(key, self._revision + 1, data))

    def remove(self, key: str) -> None:
        """Remove an item."""
        self._apply(_Change(key, self._revision + 1, None))

    def drop_history(self) -> None:
        """Discard all past changes; watches of earlier revisions get status 410."""
        self._compacted_revision = self._revision
        self._changes.clear()
        self._notify_watchers()

    def list_documents(self) -> dict[str, bytes]:
        """Return the values of all items."""
        return {key: change.value or b"" for key, change in self._items.items()}

    def take_copy(self) -> StoreCopy:
        """Return a copy of the content, for `restore`."""
        return StoreCopy(
            self._revision,
            dict(self._items),
            tuple(self._changes),
            self._compacted_revision,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Replace the content by an older copy and begin the next era.

        Later revisions are given out again.
        """
        self.era = (self.era or 0) + 1
        self._revision = copy.revision
        self._items = dict(copy.items)
        self._changes = list(copy.changes)
        self._compacted_revision = copy.compacted_revision
        self._notify_watchers()

    async def handle(self, request: Request) -> Response:
        """Respond to one call."""
        response = await self._respond(request)
        if self.era is None:
            return response
        era = (ERA_HEADER, str(self.era))
        return attrs.evolve(response, headers=(*response.headers, era))

    async def _respond(self, request: Request) -> Response:
        self.call_count += 1
        if self.is_down:
            return Response(status=503)
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/-/kv-range":
            return self._list(query)
        if url.path == "/-/kv-watch":
            return await self._watch(query)
        return Response(status=404)

    def _apply(self, change: _Change) -> None:
        self._revision = change.revision
        self._changes.append(change)
        if change.value is None:
            self._items.pop(change.key, None)
        else:
            self._items[change.key] = change
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _list(self, query: dict[str, str]) -> Response:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        items = [_encode(self._items[key]) for key in keys[:PAGE_SIZE]]
        page = {"items": items, "truncated": len(keys) > PAGE_SIZE}
        return json_response({**page, "currentRev": self._revision})

    async def _watch(self, query: dict[str, str]) -> Response:
        after = int(query["after"])
        wait_s = int(query["waitMs"]) / 1000
        try:
            async with asyncio.timeout(wait_s):
                while True:
                    if not self._compacted_revision <= after <= self._revision:
                        return Response(status=410)
                    if events := [c for c in self._changes if c.revision > after]:
                        break
                    await self._changed.wait()
        except TimeoutError:
            events = []
        if self.is_down:
            return Response(status=503)
        encoded = [_encode(change) for change in events]
        return json_response({"events": encoded, "currentRev": self._revision})


def _encode(change: _Change) -> dict[str, Any]:
    if change.value is None:
        return {"key": change.key, "revision": change.revision, "removed": True}
    value = base64.b64encode(change.value).decode()
    return {"key": change.key, "revision": change.revision, "value": value}
