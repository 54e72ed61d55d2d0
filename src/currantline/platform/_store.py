"""Client of the platform's store. This is the only one."""

import base64
import binascii
import json
from collections.abc import Iterable
from typing import Any
from urllib.parse import urlencode

import attrs

from currantline.exceptions import HistoryLostError, PlatformError, WireError
from currantline.replica import Record
from currantline.wire import HttpClient, Request, Response

__all__ = ["RecordBatch", "StoreClient"]

# All keys that instances use begin so; one watch covers them.
ALL_KEYS_PREFIX = ""

# Longest time for one reading call in milliseconds. The store answers in 4 ms, and
# in a quarter of a second while it is slow.
RANGE_TIMEOUT_MS = 1_000.0

# Time by which an answer to a waiting watch may be late, in milliseconds; the store
# answers 60 to 90 times as slowly as usual while it is slow.
WATCH_SLACK_MS = 400.0

HTTP_GONE = 410


@attrs.frozen(kw_only=True)
class RecordBatch:
    """Records that the store returned.

    Parameters
    ----------
    records : tuple of Record
        The records.
    revision : int
        Revision up to which they are complete.
    """

    records: tuple[Record, ...]
    revision: int


class StoreClient:
    """Reads and watches the store over one connection.

    Parameters
    ----------
    http : HttpClient
        Connection to the store.
    """

    def __init__(self, http: HttpClient) -> None:
        self._http = http
        self.calls = 0

    async def read_all(self) -> RecordBatch:
        """Return everything that is published.

        Pages are not a snapshot, so the reading counts as complete up to the
        revision of its first page, and later changes are watched from there.

        Raises
        ------
        PlatformError
            If the store gives no usable answer.
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
        """Wait for changes after a revision; may return without any.

        Raises
        ------
        HistoryLostError
            If the store no longer has these changes.
        PlatformError
            If the store gives no usable answer.
        """
        query = {"prefix": ALL_KEYS_PREFIX, "after": after, "waitMs": wait_ms}
        page = await self._call("/-/kv-watch", query, wait_ms + WATCH_SLACK_MS)
        records = tuple(_decode_items(page.get("events") or ()))
        return RecordBatch(records=records, revision=_read_revision(page))

    def close(self) -> None:
        """Drop the connection."""
        self._http.close()

    async def _call(
        self, path: str, query: dict[str, Any], timeout_ms: float
    ) -> dict[str, Any]:
        self.calls += 1
        request = Request(method="GET", target=f"{path}?{urlencode(query)}")
        try:
            response = await self._http.fetch(request, timeout_ms=timeout_ms)
        except WireError as error:
            raise PlatformError(f"{path}: {error}") from error
        return _decode_response(path, response)


def _decode_response(path: str, response: Response) -> dict[str, Any]:
    if response.status == HTTP_GONE:
        raise HistoryLostError(f"{path}: the history was dropped")
    if response.status != 200:
        raise PlatformError(f"{path}: status {response.status}")
    try:
        page = json.loads(response.body)
    except ValueError as error:
        raise PlatformError(f"{path}: not JSON") from error
    if not isinstance(page, dict):
        raise PlatformError(f"{path}: not a table")
    return page


def _read_revision(page: dict[str, Any]) -> int:
    revision = page.get("currentRev")
    if not isinstance(revision, int):
        raise PlatformError(f"no revision in the answer: {revision!r}")
    return revision


def _decode_items(items: Iterable[Any]) -> Iterable[Record]:
    for item in items:
        try:
            document = None if item.get("removed") else _decode_value(item["value"])
            yield Record(str(item["key"]), int(item["revision"]), document)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise PlatformError(f"an item cannot be read: {error}") from error


def _decode_value(value: str) -> str:
    try:
        data = base64.b64decode(value, validate=True)
    except binascii.Error as error:
        raise PlatformError(f"a value is not base64: {error}") from error
    # Bytes of another writer that are no text stay recognisable as such.
    return data.decode("utf-8", errors="replace")
