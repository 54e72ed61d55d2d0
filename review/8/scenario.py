"""Upstreams run orders and then fail them with status 503 or 429."""

import asyncio
import random
from collections.abc import Callable

from doubles.client import Answer, send_request
from doubles.deployment import Deployment, make_route
from doubles.record import Record
from doubles.script import run_case
from doubles.upstream import Upstream

SERVICE, PREFIX = "turbine-desk", "/orders/"
ROUTE_TIMEOUT_MS, DEADLINE_MS = 2_000, 4_700
ORDERS = 600
INTERVAL_S = 0.03
# Share of the requests that a failing upstream fails, and the number of such upstreams.
# Both are within the doses that the site file names, 0.45 and 0.14 of the upstreams.
FAILED_SHARE = 0.45
FAILING_UPSTREAMS, UPSTREAMS = 1, 8
PROMISES = (408, 421, 429, 503)


async def play(record: Record, has_trouble: bool) -> list[str]:
    """Return the violations of REFUSED."""
    deployment = Deployment(record)
    route = make_route(
        SERVICE,
        PREFIX,
        kind="non_idempotent",
        timeout_ms=ROUTE_TIMEOUT_MS,
        latency_ms=600,
    )
    try:
        await deployment.start_store({"orders": route}, [SERVICE])
        for number in range(UPSTREAMS):
            is_failing = has_trouble and number < FAILING_UPSTREAMS
            upstream = Upstream(
                f"i-{number}",
                slots=4,
                work_s=0.14,
                make_body=lambda path: path.encode(),
                record=record,
                choose_status=_fail_some() if is_failing else lambda attempt: 200,
            )
            await deployment.add_upstream(upstream, SERVICE)
        await deployment.start_instances()
        return await _send_orders(deployment)
    finally:
        await deployment.stop()


def _fail_some() -> Callable[[str], int]:
    rng = random.Random(FAILED_SHARE)

    def choose(attempt: str) -> int:
        is_failed = rng.random() < FAILED_SHARE
        return rng.choice((503, 429)) if is_failed else 200

    return choose


async def _send_orders(deployment: Deployment) -> list[str]:
    tasks = []
    for number in range(ORDERS):
        host = deployment.hosts[number % len(deployment.hosts)]
        tasks.append(
            asyncio.create_task(
                send_request(
                    host,
                    f"{PREFIX}{number}",
                    f"o{number}",
                    deployment.record,
                    method="POST",
                    deadline_ms=DEADLINE_MS,
                )
            )
        )
        await asyncio.sleep(INTERVAL_S)
    answers = list(await asyncio.gather(*tasks))
    if not any(answer.status == 200 for answer in answers):
        raise RuntimeError("no order was served")
    return [_describe(a) for a in answers if _is_broken(deployment, a)]


def _is_broken(deployment: Deployment, answer: Answer) -> bool:
    runs = sum(u.runs.get(answer.attempt, 0) for u in deployment.upstreams.values())
    return runs > 0 and answer.status in PROMISES


def _describe(answer: Answer) -> str:
    return f"REFUSED: order {answer.attempt} has run, and was answered {answer.status}"


if __name__ == "__main__":
    run_case(__file__, play)
