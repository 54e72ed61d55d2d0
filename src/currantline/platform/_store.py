"""Client of the platform's store; no other module calls the store."""

import base64
import binascii
import json
from collections.abc import Iterable
from typing import Any
from urllib.parse import urlencode

import attrs

from currantline.exceptions import (
    MALFORMED_DATA_ERRORS,
    HistoryLostError,
    PlatformError,
    WireError,
)
from currantline.replica import Record
from currantline.wire import HttpClient, Request, Response

__all__ = ["RecordBatch", "StoreClient"]

# The empty prefix matches every key, so one watch covers all that instances use.
ALL_KEYS_PREFIX = ""

# The store responds in 4 ms, or in 250 ms while it is slow.
RANGE_TIMEOUT_MS = 1_000.0

# Time that a watch response may take beyond the requested wait. A slow store responds
# 60 to 90 times more slowly than normal.
WATCH_SLACK_MS = 400.0

HTTP_GONE = 410

# Document in place of a value that cannot be read; it is not valid JSON.
UNREADABLE = ""


@attrs.frozen(kw_only=True)
class RecordBatch:
    """Records read from the store.

    Parameters
    ----------
    records : tuple of Record
        The records.
    revision : int
        Revision up to which the records are complete.
    """

    records: tuple[Record, ...]
    revision: int


class StoreClient:
    """Reads and watches the store over one connection.

    Parameters
    ----------
    http : HttpClient
        HTTP client for the store's address.
    """

    def __init__(self, http: HttpClient) -> None:
        self._http = http
        self.calls = 0

    async def read_all(self) -> RecordBatch:
        """Return all published records.

        The pages do not form a consistent snapshot, so the result is complete only
        up to the revision of the first page; a watch from there gets later changes.

        Raises
        ------
        PlatformError
            If the store returns no valid response.
        """
        records: list[Record] = []
        revision: int | None = None
        query: dict[str, Any] = {"prefix": ALL_KEYS_PREFIX}
        while True:
            page = await self._call("/-/kv-range", query, RANGE_TIMEOUT_MS)
            records += _decode_items(page.get("items") or ())
            if revision is None:
                revision = _read_revision(page)
            if not page.get("truncated") or not page.get("items"):
                return RecordBatch(records=tuple(records), revision=revision)
            query["after"] = page["items"][-1]["key"]

    async def watch(self, after: int, *, wait_ms: int) -> RecordBatch:
        """Wait for changes after a revision; the result may be empty.

        Raises
        ------
        HistoryLostError
            If the store no longer holds the changes after that revision.
        PlatformError
            If the store returns no valid response.
        """
        query = {"prefix": ALL_KEYS_PREFIX, "after": after, "waitMs": wait_ms}
        page = await self._call("/-/kv-watch", query, wait_ms + WATCH_SLACK_MS)
        records = tuple(_decode_items(page.get("events") or ()))
        return RecordBatch(records=records, revision=_read_revision(page))

    def close(self) -> None:
        """Close the connection to the store."""
        self._http.close()

    async def _call(
        self, path: str, query: dict[str, Any], timeout_ms: float
    ) -> dict[str, Any]:
        self.calls += 1
        # Another program may have chosen a key that is not valid Unicode.
        encoded = urlencode(query, errors="surrogatepass")
        request = Request(method="GET", target=f"{path}?{encoded}")
        try:
            response = await self._http.fetch(request, timeout_ms=timeout_ms)
        except WireError as error:
            raise PlatformError(f"{path}: {error}") from error
        return _decode_response(path, response)


def _decode_response(path: str, response: Response) -> dict[str, Any]:
    if response.status == HTTP_GONE:
        raise HistoryLostError(f"{path}: the requested changes are no longer available")
    if response.status != 200:
        raise PlatformError(f"{path}: status {response.status}")
    try:
        page = json.loads(response.body)
    except MALFORMED_DATA_ERRORS as error:
        raise PlatformError(f"{path}: not JSON") from error
    if not isinstance(page, dict):
        raise PlatformError(f"{path}: not a JSON object")
    return page


def _read_revision(page: dict[str, Any]) -> int:
    revision = page.get("currentRev")
    if not isinstance(revision, int):
        raise PlatformError(f"invalid revision in the response: {revision!r}")
    return revision


def _decode_items(items: Iterable[Any]) -> list[Record]:
    try:
        return [_decode_item(item) for item in items]
    except MALFORMED_DATA_ERRORS as error:
        raise PlatformError(f"cannot decode item: {error}") from error


def _decode_item(item: dict[str, Any]) -> Record:
    document = None if item.get("removed") else _decode_value(item["value"])
    return Record(str(item["key"]), int(item["revision"]), document)


def _decode_value(value: Any) -> str:
    try:
        data = base64.b64decode(value, validate=True)
    except (binascii.Error, TypeError, ValueError):
        # One unreadable value must not keep instances from following the others.
        return UNREADABLE
    # Another program may write bytes that are not UTF-8; the replacement characters
    # mark them without failing the read.
    return data.decode("utf-8", errors="replace")
