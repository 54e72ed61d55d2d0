"""Helpers for the tests of dispatch."""

import random

from currantline.admission import WorkItem
from currantline.configuration import Priority, Service, Target
from currantline.directory import Ownership
from currantline.dispatch import (
    Dispatcher,
    DispatchOptions,
    Effect,
    Message,
    Send,
    Start,
)

NAMES = ("a", "b", "c")
INSTANCES = [(name, "n") for name in NAMES]
SLOTS = 2
TARGETS = tuple(
    Target(name=f"t{i}", address="127.0.0.1:7000", data_centre="n", slots=SLOTS)
    for i in range(3)
)
SERVICE = Service(name="s", targets=TARGETS, slots_per_owner=4, queue_limit=20)
OWNED_BY_A = Ownership(owners=("a",), targets={t.name: "a" for t in TARGETS})
LEASE_MS = DispatchOptions().lease_ms
LOAN_AGE_MS = DispatchOptions().loan_age_ms


def make_work(
    name: str,
    now: float,
    *,
    timeout_ms: float = 1000.0,
    priority: Priority = Priority.INTERACTIVE,
    avoid: frozenset[str] = frozenset(),
) -> WorkItem:
    """Return a request."""
    return WorkItem(
        request_id=name,
        service="s",
        route=priority.value,
        priority=priority,
        deadline=now + timeout_ms,
        arrived=now,
        avoid=avoid,
    )


def make_dispatcher(name: str, ownership: Ownership = OWNED_BY_A) -> Dispatcher:
    """Return a dispatcher that may use all slots of all targets."""
    dispatcher = Dispatcher(name, random.Random(name))
    dispatcher.set_service(SERVICE)
    dispatcher.set_ownership("s", ownership, 0.0)
    for target in TARGETS:
        dispatcher.set_limit(target.name, SLOTS, 0.0)
    return dispatcher


def starts(effects: list[Effect]) -> list[str]:
    """Return the identifiers of the started requests."""
    return [e.request_id for e in effects if isinstance(e, Start)]


def messages(effects: list[Effect]) -> list[Message]:
    """Return the sent messages."""
    return [e.message for e in effects if isinstance(e, Send)]
