"""Tests of the dispatcher with services that are idle."""

import random

import pytest

from currantline.admission import WorkItem
from currantline.configuration import Service, Target
from currantline.directory import assign_owners
from currantline.dispatch import Dispatcher, Effect, Refuse
from currantline.dispatch._pool import ServicePool

SERVICES = 50
TIMEOUT_MS = 1000.0


def make_dispatcher() -> Dispatcher:
    """Return a dispatcher that owns targets without usable slots."""
    dispatcher = Dispatcher("a", random.Random(1))
    for number in range(SERVICES):
        target = Target(
            name=f"t{number}", address="127.0.0.1:7000", data_centre="n", slots=2
        )
        service = Service(name=f"s{number}", targets=(target,))
        dispatcher.set_service(service)
        dispatcher.set_ownership(
            service.name, assign_owners(service, [("a", "n")]), 0.0
        )
    dispatcher.tick(0.0)
    return dispatcher


def submit(dispatcher: Dispatcher, service: str) -> list[Effect]:
    """Submit a request that has to wait."""
    work = WorkItem(
        request_id="r", service=service, route="x", deadline=TIMEOUT_MS, arrived=0.0
    )
    return dispatcher.submit(work, 0.0)


class TestIdleServices:
    """Idle services cost nothing, and waiting requests are not missed."""

    def test_tick_skips_idle_services(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against ticks that visit every service (12 ms at 1,300 services)."""
        dispatcher = make_dispatcher()
        submit(dispatcher, "s7")
        seen = []
        advance = ServicePool.advance

        def count(pool: ServicePool, now: float) -> list[Effect]:
            seen.append(pool)
            return advance(pool, now)

        monkeypatch.setattr(ServicePool, "advance", count)
        dispatcher.tick(1.0)
        assert len(seen) == 1

    def test_waiting_request_is_due_and_expires(self) -> None:
        """Guards against a waiting request whose service is treated as idle."""
        dispatcher = make_dispatcher()
        submit(dispatcher, "s7")
        assert dispatcher.next_due(0.0) <= TIMEOUT_MS
        assert dispatcher.tick(TIMEOUT_MS) == [Refuse("r", "deadline")]
        assert dispatcher.next_due(TIMEOUT_MS) == float("inf")
