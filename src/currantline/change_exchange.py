"""Exchange of replica changes with the other instances."""

import re

from currantline.exceptions import PeerError
from currantline.platform import REVISION_PATTERN
from currantline.replica import Changes, Replica, decode_changes, encode_changes
from currantline.wire import BodyMemory, Request, Response, fetch, find_header

__all__ = ["ChangeExchange"]

CHANGES_PATH = "/changes"
POSITION_PATTERN = re.compile(r"[0-9]{1,20}")
HISTORY_HEADER = "currantline-history-revision"

# Timeout for a pull of changes from another instance.
PULL_TIMEOUT_MS = 1_000.0


class ChangeExchange:
    """Pulls changes from other instances, and answers their pulls.

    Parameters
    ----------
    replica : Replica
        Replica whose changes the others pull.
    port : int
        Port on which every instance answers pulls.
    body_memory : BodyMemory, optional
        Limits the total size of the changes that are being pulled.
    """

    def __init__(
        self, replica: Replica, *, port: int, body_memory: BodyMemory | None = None
    ) -> None:
        self._replica = replica
        self._port = port
        self._body_memory = body_memory

    async def pull(self, host: str, after: int) -> Changes:
        """Return the changes of another instance after a position.

        Parameters
        ----------
        host : str
            Host of the other instance.
        after : int
            Position in the changes of the other instance.

        Raises
        ------
        PeerError
            If the other instance gives no valid answer.
        """
        request = Request(method="GET", target=f"{CHANGES_PATH}?after={after}")
        address = f"{host}:{self._port}"
        response = await fetch(
            address,
            request,
            timeout_ms=PULL_TIMEOUT_MS,
            body_memory=self._body_memory,
        )
        if response.status != 200:
            raise PeerError(f"{host} answered with status {response.status}")
        history = find_header(response.headers, HISTORY_HEADER) or "0"
        if not REVISION_PATTERN.fullmatch(history):
            raise PeerError(f"{host} answered with history {history!r}")
        return decode_changes(response.body, after=after, history_revision=int(history))

    async def handle(self, request: Request) -> Response:
        """Return the response to a pull by another instance."""
        path, _, query = request.target.partition("?")
        after = query.removeprefix("after=")
        if path != CHANGES_PATH or not POSITION_PATTERN.fullmatch(after):
            return Response(status=404)
        changes = self._replica.list_changes(int(after))
        history = (HISTORY_HEADER, str(changes.history_revision))
        return Response(status=200, headers=(history,), body=encode_changes(changes))
