"""Seeded mixed load on the services of a fleet, and a report of its results."""

import asyncio
import random
from collections.abc import Iterator

from currantline.configuration import Service
from currantline.standin.caller import StandinCaller

__all__ = ["ORDER_MARK", "print_report", "run_load"]

LONG_SHARE = 0.03
ORDER_SHARE = 0.3
ORDER_MARK = "-order-"


def draw_requests(
    service: Service, rng: random.Random
) -> Iterator[tuple[str, str, str]]:
    """Yield method, path and request identifier for each request of a mixed load."""
    has_orders = any(not route.idempotent for route in service.routes)
    number = 0
    while True:
        number += 1
        if has_orders and rng.random() < ORDER_SHARE:
            yield "POST", f"/orders/{number}", f"{service.name}{ORDER_MARK}{number}"
        elif rng.random() < LONG_SHARE:
            yield "GET", f"/long/{number}", f"{service.name}-long-{number}"
        else:
            yield "GET", f"/item/{number}", f"{service.name}-item-{number}"


async def run_load(
    caller: StandinCaller,
    service: Service,
    *,
    seed: int,
    rate: float,
    duration_s: float,
) -> None:
    """Send requests to one service and wait for all of their outcomes.

    Parameters
    ----------
    caller : StandinCaller
        Sends the requests.
    service : Service
        Service to send to.
    seed : int
        Seed of arrival times and kinds of requests.
    rate : float
        Mean number of requests per second.
    duration_s : float
        Duration of the load.
    """
    rng = random.Random(f"{seed} {service.name}")
    requests = draw_requests(service, rng)
    loop = asyncio.get_running_loop()
    due = loop.time()
    end = due + duration_s
    async with asyncio.TaskGroup() as group:
        while due < end:
            method, path, request_id = next(requests)
            group.create_task(caller.send(service.name, method, path, request_id))
            due += rng.expovariate(rate)
            await asyncio.sleep(max(0.0, due - loop.time()))


def print_report(caller: StandinCaller, request_counts: dict[str, int]) -> list[str]:
    """Print a line per service and return the violated guarantees.

    Parameters
    ----------
    caller : StandinCaller
        Caller with the results.
    request_counts : dict of str to int
        Number of arrivals at targets by request identifier.

    Returns
    -------
    list of str
        One line for each violated guarantee.
    """
    violations = []
    columns = f"{'service':24}{'answered':>9}{'not-run':>9}{'unknown':>9}"
    print(f"{columns}{'p50 ms':>9}{'p99 ms':>9}")
    for name, report in sorted(caller.results.items()):
        counts = report.outcomes
        p50 = report.latency_us.get_value_at_percentile(50) / 1000
        p99 = report.latency_us.get_value_at_percentile(99) / 1000
        print(
            f"{name:24}{counts['answered']:9}{counts['not-run']:9}"
            f"{counts['unknown']:9}{p50:9.1f}{p99:9.1f}"
        )
        for reason, count in sorted(report.reasons.items()):
            print(f"    {count} x {reason}")
        if report.mismatches:
            violations.append(
                f"{name}: {report.mismatches} responses that do not match their request"
            )
        if counts["missing"]:
            violations.append(
                f"{name}: {counts['missing']} responses without an outcome"
            )
    orders = {key: count for key, count in request_counts.items() if ORDER_MARK in key}
    repeated = sorted(key for key, count in orders.items() if count > 1)
    print(f"orders seen by targets: {len(orders)}, more than once: {len(repeated)}")
    violations += [f"order {key} reached a target more than once" for key in repeated]
    reached = sorted(caller.not_run & request_counts.keys())
    return violations + [
        f"{key} has outcome not-run but reached a target" for key in reached
    ]
