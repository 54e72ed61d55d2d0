"""Stand-in for the platform: configuration service and published list.

Reading is what the daemons do; publishing is the platform's own side, used by
operators and tests.
"""

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from absl import app, flags

from currantline.wire import HttpServer, Request, Response, json_response

__all__ = ["Platform"]


class Platform:
    """Holds published records and the list of instances and targets.

    Attributes
    ----------
    records : list of dict
        Published configuration records in order of their sequence.
    entries : list of dict
        Published list of live and leaving instances and targets.
    reads : int
        Reads so far, a waiting watch counting as one.
    is_down : bool
        Whether the service refuses all reads.
    stale_after : int or None
        Highest sequence that reads return, if the service is stale.
    """

    def __init__(self) -> None:
        self.records: list[dict[str, Any]] = []
        self.entries: list[dict[str, Any]] = []
        self.reads = 0
        self.is_down = False
        self.stale_after: int | None = None
        self._changed = asyncio.Event()
        self.service = HttpServer(self.handle)

    def publish(self, record: dict[str, Any]) -> int:
        """Append a record and return its sequence."""
        sequence = len(self.records) + 1
        self.records.append({**record, "sequence": sequence})
        self._changed.set()
        self._changed = asyncio.Event()
        return sequence

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        parts = urlsplit(request.target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if request.method == "POST":
            return self._handle_publish(parts.path, json.loads(request.body))
        self.reads += 1
        if self.is_down:
            return json_response({"error": "unavailable"}, status=503)
        if parts.path == "/v1/records":
            after = int(query.get("after", "0"))
            wait_ms = float(query.get("wait_ms", "0"))
            return json_response({"records": await self._read_records(after, wait_ms)})
        if parts.path == "/v1/list":
            return json_response({"entries": self.entries})
        return json_response({"error": "no such path"}, status=404)

    def _handle_publish(self, path: str, body: Any) -> Response:
        if path == "/v1/records":
            return json_response({"sequence": self.publish(body)})
        if path == "/v1/list":
            self.entries = body["entries"]
            return json_response({})
        if path == "/v1/faults":
            self.is_down = body.get("is_down", self.is_down)
            self.stale_after = body.get("stale_after", self.stale_after)
            return json_response({})
        return json_response({"error": "no such path"}, status=404)

    async def _read_records(self, after: int, wait_ms: float) -> list[dict[str, Any]]:
        changed = self._changed
        found = self._list_after(after)
        if not found and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await changed.wait()
            except TimeoutError:
                return []
            found = self._list_after(after)
        return found

    def _list_after(self, after: int) -> list[dict[str, Any]]:
        end = len(self.records) if self.stale_after is None else self.stale_after
        return self.records[after:end]


async def serve(address: str) -> None:
    """Serve until the process is ended."""
    await Platform().service.start(address)
    await asyncio.Event().wait()


def main(_: list[str]) -> None:
    """Run the stand-in as a process."""
    asyncio.run(serve(flags.FLAGS.address))


if __name__ == "__main__":
    flags.DEFINE_string("address", "127.0.0.1:7900", "IP number and port to serve on.")
    app.run(main)
