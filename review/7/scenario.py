"""Clients that read slowly lose answers that are ready."""

import asyncio

from doubles.client import Answer, Client
from doubles.deployment import Deployment, make_route
from doubles.record import Record
from doubles.script import run_case
from doubles.upstream import Upstream

SERVICE, PREFIX = "arena-assets", "/archive/"
ROUTE_TIMEOUT_MS, DEADLINE_MS = 10_000, 20_000
# The largest answer that the site file names.
ANSWER_BYTES, SMALL_BYTES = 30_000, 400
CLIENTS, REQUESTS_AHEAD = 6, 12
# A client reads nothing for this time, and has its answers before its deadline.
PAUSE_S = 12.0
# The socket of a client on an Ethernet, with the usual receive buffer.
SEGMENT_BYTES, RECEIVE_BUFFER = 1_460, 65_536
# A machine may close so many kept connections without an answer.
MAX_CLOSED = 3


async def play(record: Record, has_trouble: bool) -> list[str]:
    """Return the violations of LOST."""
    deployment = Deployment(record)
    route = make_route(
        SERVICE,
        PREFIX,
        kind="idempotent",
        timeout_ms=ROUTE_TIMEOUT_MS,
        latency_ms=4_122,
    )
    try:
        await deployment.start_store({"archive": route}, [SERVICE])
        for number in range(18):
            upstream = Upstream(
                f"i-{number}", slots=2, work_s=0.1, make_body=_make_body, record=record
            )
            await deployment.add_upstream(upstream, SERVICE)
        await deployment.start_instances()
        return await _read_all(deployment, has_trouble)
    finally:
        await deployment.stop()


def _make_body(path: str) -> bytes:
    return bytes(SMALL_BYTES if path.endswith("/first") else ANSWER_BYTES)


async def _read_all(deployment: Deployment, has_trouble: bool) -> list[str]:
    host = deployment.hosts[0]
    tasks = [
        asyncio.create_task(_read(deployment, host, number, has_trouble))
        for number in range(CLIENTS)
    ]
    results = [await task for task in tasks]
    if not any(answer.status == 200 for answers in results for answer in answers):
        raise RuntimeError("no request was served")
    # A connection counts once, if a request on it has run and no byte of its answer
    # came.
    closed = [lost for answers in results if (lost := _list_lost(deployment, answers))]
    if len(closed) <= MAX_CLOSED:
        return []
    return [
        f"LOST: {host} closed a kept connection on which {', '.join(lost)} had been "
        "run and answered by sound upstreams, without an answer to them"
        for lost in closed
    ]


async def _read(
    deployment: Deployment, host: str, number: int, has_trouble: bool
) -> list[Answer]:
    client = Client(
        host,
        deployment.record,
        receive_buffer=RECEIVE_BUFFER,
        segment_bytes=SEGMENT_BYTES,
        pause_s=PAUSE_S if has_trouble else 0.0,
    )
    first = [(f"{PREFIX}{number}/first", f"a{number}-first")]
    await client.exchange(first, deadline_ms=DEADLINE_MS)
    requests = [
        (f"{PREFIX}{number}/{n}", f"a{number}-{n}") for n in range(REQUESTS_AHEAD)
    ]
    answers = await client.exchange(requests, deadline_ms=DEADLINE_MS)
    client.close()
    return answers


def _list_lost(deployment: Deployment, answers: list[Answer]) -> list[str]:
    upstreams = deployment.upstreams.values()
    return [
        answer.attempt
        for answer in answers
        if answer.end in ("closed", "reset")
        and answer.status == 0
        and any(answer.attempt in upstream.answered for upstream in upstreams)
    ]


if __name__ == "__main__":
    run_case(__file__, play)
