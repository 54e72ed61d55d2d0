"""Stand-in for a client, which may read slowly."""

import asyncio
import socket
import time
from dataclasses import dataclass

from doubles.deployment import FRONT, HOST_NAME
from doubles.messages import encode_head
from doubles.record import Record

__all__ = ["Answer", "Client", "send_request"]

PIECE_BYTES = 4_096
CONNECT_TIMEOUT_S = 1.0


@dataclass
class Answer:
    """What a client got.

    Parameters
    ----------
    attempt : str
        Id of the client attempt.
    sent_s : float
        Time of the last byte sent.
    ended_s : float
        Time of the end.
    status : int
        Status of the answer, 0 if there was none.
    seal : str
        Seal of the upstream, if any.
    stated : int
        Length that the answer states.
    received : int
        Bytes of the body that came.
    end : str
        What ended the reading: ``complete``, ``closed``, ``reset`` or ``time``.
    """

    attempt: str
    sent_s: float = 0.0
    ended_s: float = 0.0
    status: int = 0
    seal: str = ""
    stated: int = 0
    received: int = 0
    end: str = ""


class Client:
    """A connection to an instance, on which requests may be sent ahead.

    Parameters
    ----------
    host : str
        Instance to connect to.
    record : Record
        Record of the case.
    bytes_per_s : float or None
        Speed at which the client reads, None for any.
    receive_buffer : int or None
        Size of the receive buffer of its socket.
    segment_bytes : int or None
        Size of the segments that its link carries, None for that of the loopback
        interface.
    pause_s : float
        Time for which it reads nothing after the first answer of an exchange that has
        more than one.
    """

    def __init__(
        self,
        host: str,
        record: Record,
        *,
        bytes_per_s: float | None = None,
        receive_buffer: int | None = None,
        segment_bytes: int | None = None,
        pause_s: float = 0.0,
    ) -> None:
        self.host = host
        self._pause_s = pause_s
        self._record = record
        self._bytes_per_s = bytes_per_s
        self._data = bytearray()
        self._is_connected = False
        self._started_s = 0.0
        self._received = 0
        self._sock = socket.socket()
        self._sock.setblocking(False)
        if receive_buffer is not None:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        if segment_bytes is not None:
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes)

    async def exchange(
        self,
        requests: list[tuple[str, str]],
        *,
        method: str = "GET",
        deadline_ms: int,
    ) -> list[Answer]:
        """Send requests, all before the first answer, and return their answers.

        Parameters
        ----------
        requests : list of tuple
            Path and id of each client attempt.
        method : str, optional
            Method of the requests.
        deadline_ms : int
            Time for which the client waits.
        """
        answers = [Answer(attempt) for _, attempt in requests]
        loop = asyncio.get_running_loop()
        end = ""
        try:
            if not self._is_connected:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await loop.sock_connect(self._sock, (self.host, FRONT))
                self._is_connected = True
            for (path, attempt), answer in zip(requests, answers, strict=True):
                head = encode_head(
                    f"{method} {path} HTTP/1.1",
                    {
                        "Host": HOST_NAME,
                        "X-Currantline-Attempt-Id": attempt,
                        "X-Currantline-Deadline-Ms": str(deadline_ms),
                        "Content-Length": "0",
                    },
                )
                await loop.sock_sendall(self._sock, head)
                answer.sent_s = time.monotonic()
                self._record.write(
                    "sent", attempt=attempt, instance=self.host, path=path
                )
            self._started_s, self._received = time.monotonic(), 0
            async with asyncio.timeout(deadline_ms / 1000):
                for number, answer in enumerate(answers):
                    if number == 1 and self._pause_s:
                        self._record.write("pause", attempt=answer.attempt)
                        await asyncio.sleep(self._pause_s)
                    await self._read_answer(answer)
        except TimeoutError:
            end = "time"
        except ConnectionResetError:
            end = "reset"
        except EOFError:
            end = "closed"
        except OSError as error:
            end = f"failed: {error!r}"
        for answer in answers:
            self._finish(answer, end)
        if end:
            self.close()
        return answers

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    def _finish(self, answer: Answer, end: str) -> None:
        if not answer.end:
            answer.end, answer.ended_s = end, time.monotonic()
        self._record.write(
            "answer",
            attempt=answer.attempt,
            status=answer.status,
            stated=answer.stated,
            received=answer.received,
            end=answer.end,
            took_s=round(answer.ended_s - answer.sent_s, 3),
        )

    async def _read_answer(self, answer: Answer) -> None:
        while b"\r\n\r\n" not in self._data:
            await self._receive()
        head, _, rest = bytes(self._data).partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        answer.status = int(lines[0].split(" ")[1])
        answer.seal = headers.get("x-currantline-server-seal", "")
        answer.stated = int(headers.get("content-length", "0"))
        self._data = bytearray(rest)
        while len(self._data) < answer.stated:
            answer.received = len(self._data)
            await self._receive()
        answer.received = answer.stated
        del self._data[: answer.stated]
        answer.end, answer.ended_s = "complete", time.monotonic()

    async def _receive(self) -> None:
        loop = asyncio.get_running_loop()
        piece = await loop.sock_recv(self._sock, PIECE_BYTES)
        if not piece:
            raise EOFError
        self._data += piece
        self._received += len(piece)
        if self._bytes_per_s is not None:
            due_s = self._started_s + self._received / self._bytes_per_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))


async def send_request(
    host: str,
    path: str,
    attempt: str,
    record: Record,
    *,
    method: str = "GET",
    deadline_ms: int,
) -> Answer:
    """Send one request on a new connection and return its answer."""
    client = Client(host, record)
    answers = await client.exchange(
        [(path, attempt)], method=method, deadline_ms=deadline_ms
    )
    client.close()
    return answers[0]
