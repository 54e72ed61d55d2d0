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
    BodyTooLargeError,
    HistoryLostError,
    PlatformError,
    StoreReturnedError,
    WireError,
)
from currantline.platform._revisions import (
    compose_revision,
    describe_revision,
    find_era,
    find_number,
    parse_era,
)
from currantline.replica import Record
from currantline.wire import HttpClient, Request, Response, find_header

__all__ = ["RecordBatch", "StoreClient"]

# The empty prefix matches every key, so one watch covers all that instances use.
ALL_KEYS_PREFIX = ""

# The store responds in 4 ms, or in 250 ms while it is slow.
RANGE_TIMEOUT_MS = 1_000.0

# Time that a watch response may take beyond the requested wait. A slow store responds
# 60 to 90 times more slowly than normal.
WATCH_SLACK_MS = 400.0

HTTP_GONE = 410

# Header in all answers of the store; it rises by one when the store returns from an
# older copy.
ERA_HEADER = "store-era"

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


@attrs.frozen
class _Page:
    era: int
    content: dict[str, Any]

    @property
    def revision(self) -> int:
        """Revision that the store states for the whole page."""
        return compose_revision(self.era, self.content.get("currentRev"))

    def decode_records(self, field: str) -> list[Record]:
        return _decode_items(self.content.get(field) or (), self.era)


class StoreClient:
    """Reads and watches the store over one connection.

    Answers of an older era than one already seen fail: they are late, or come from a
    part of the store that is behind.

    Parameters
    ----------
    http : HttpClient
        HTTP client for the store's address.
    """

    def __init__(self, http: HttpClient) -> None:
        self._http = http
        self._era = 0
        self.calls = 0

    def find_era(self, revision: int) -> int:
        """Return the era of a revision."""
        return find_era(revision)

    def describe_revision(self, revision: int) -> dict[str, int]:
        """Return the era and the number of a revision as fields of a log line."""
        return describe_revision(revision)

    async def read_all(self) -> RecordBatch:
        """Return all published records.

        The pages do not form a consistent snapshot, so the result is complete only
        up to the revision of the first page; a watch from there gets later changes.

        Raises
        ------
        StoreReturnedError
            If the store returned from a copy between two pages.
        PlatformError
            If the store returns no valid response.
        """
        records: list[Record] = []
        first: _Page | None = None
        query: dict[str, Any] = {"prefix": ALL_KEYS_PREFIX}
        while True:
            era = first.era if first is not None else None
            page = await self._call("/-/kv-range", query, RANGE_TIMEOUT_MS, era=era)
            records += page.decode_records("items")
            first = first or page
            if not page.content.get("truncated") or not page.content.get("items"):
                return RecordBatch(records=tuple(records), revision=first.revision)
            query["after"] = page.content["items"][-1]["key"]

    async def watch(self, after: int, *, wait_ms: int) -> RecordBatch:
        """Wait for changes after a revision; the result may be empty.

        Raises
        ------
        StoreReturnedError
            If the store is in a later era than the revision.
        HistoryLostError
            If the store no longer holds the changes after that revision, or they do not
            fit into the memory; a full read comes in pages.
        PlatformError
            If the store returns no valid response.
        """
        query = {
            "prefix": ALL_KEYS_PREFIX,
            "after": find_number(after),
            "waitMs": wait_ms,
        }
        timeout_ms = wait_ms + WATCH_SLACK_MS
        page = await self._call("/-/kv-watch", query, timeout_ms, era=find_era(after))
        records = tuple(page.decode_records("events"))
        return RecordBatch(records=records, revision=page.revision)

    def close(self) -> None:
        """Close the connection to the store."""
        self._http.close()

    async def _call(
        self, path: str, query: dict[str, Any], timeout_ms: float, *, era: int | None
    ) -> _Page:
        """Call the store; the answer must be of the given era if there is one."""
        self._era = max(self._era, era or 0)
        self._check_continues(path, era)
        self.calls += 1
        # Another program may have chosen a key that is not valid Unicode.
        encoded = urlencode(query, errors="surrogatepass")
        request = Request(method="GET", target=f"{path}?{encoded}")
        try:
            response = await self._http.fetch(request, timeout_ms=timeout_ms)
        except BodyTooLargeError as error:
            raise HistoryLostError(f"{path}: {error}") from error
        except WireError as error:
            raise PlatformError(f"{path}: {error}") from error
        self._observe_era(path, response)
        # Comes before the status: also an error can state the next era.
        self._check_continues(path, era)
        return _Page(self._era, _decode_response(path, response))

    def _check_continues(self, path: str, era: int | None) -> None:
        if era is not None and self._era > era:
            raise StoreReturnedError(
                f"{path}: the store is in era {self._era} instead of {era}",
                revision=compose_revision(self._era, 0),
            )

    def _observe_era(self, path: str, response: Response) -> None:
        value = find_header(response.headers, ERA_HEADER)
        if value is None and response.status != 200:
            # An error without the header may come from something before the store.
            return
        era = parse_era(value)
        if era < self._era:
            raise PlatformError(f"{path}: answer of era {era}, known is {self._era}")
        self._era = era


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


def _decode_items(items: Iterable[Any], era: int) -> list[Record]:
    try:
        return [_decode_item(item, era) for item in items]
    except MALFORMED_DATA_ERRORS as error:
        raise PlatformError(f"cannot decode item: {error}") from error


def _decode_item(item: dict[str, Any], era: int) -> Record:
    document = None if item.get("removed") else _decode_value(item["value"])
    revision = compose_revision(era, int(item["revision"]))
    return Record(str(item["key"]), revision, document)


def _decode_value(value: Any) -> str:
    try:
        data = base64.b64decode(value, validate=True)
    except (binascii.Error, TypeError, ValueError):
        # One unreadable value must not keep instances from following the others.
        return UNREADABLE
    # Another program may write bytes that are not UTF-8; the replacement characters
    # mark them without failing the read.
    return data.decode("utf-8", errors="replace")
