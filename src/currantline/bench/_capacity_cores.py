"""Processor time and memory of configuration, dispatch and load at several sizes."""

import asyncio
import gc
import itertools
import json
import random
import tracemalloc
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from currantline.admission import WorkItem
from currantline.bench._slopes import (
    DATA_CENTRES,
    Series,
    make_configuration,
    time_call,
)
from currantline.clock import ManualClock
from currantline.compose import Instance
from currantline.configuration import (
    Configuration,
    ConfigurationState,
    History,
    Priority,
    Record,
    build_configuration,
    digest_configuration,
    evaluate_record,
    render_configuration,
)
from currantline.directory import assign_owners, build_address_response
from currantline.dispatch import Dispatcher
from currantline.forwarding import AttemptObservation, AttemptResult
from currantline.load import LoadReport, Observation, Signal, TargetState
from currantline.membership import InstanceEntry, Status, View
from currantline.membership._published import parse_list
from currantline.settings import Settings

__all__ = [
    "measure_address_responses",
    "measure_configuration",
    "measure_dispatch",
    "measure_load",
    "measure_owners",
]

SIZES = ((50, 260), (200, 1030), (600, 3100), (1300, 6700))
INSTANCES = (19, 100, 400, 1000)
TARGETS_BY_SERVICES = ((4, 20), (100, 520), (1300, 6700))
LOAD_SIZES = ((8, 40), (200, 1000), (1300, 6700))
MIB = 1024 * 1024
ADDRESS = "127.0.0.1:7000"
NAME = "instance-0"
LOCAL_MEMBER = (NAME, "north")
EVIDENCE_EXPIRY_MS = 10_000.0

Row = dict[str, float]

_READY_OBSERVATION = Observation(
    signal=Signal.ANSWERED,
    sent=0.0,
    report=LoadReport(in_flight=1, slots=4, state=TargetState.READY),
    duration_ms=8.0,
)


def measure_configuration() -> list[Series]:
    """Measure the configuration by number of targets."""
    return _collect(
        (targets, _measure_one_configuration(services, targets))
        for services, targets in SIZES
    )


def measure_owners() -> list[Series]:
    """Measure the reassignment of all services, by instances."""
    configuration = make_configuration(*SIZES[-1])
    rows: list[tuple[float, Row]] = []
    for count in INSTANCES:
        members = [(e.name, e.data_centre) for e in _make_view(count).instances]

        def assign(members: list[tuple[str, str]] = members) -> None:
            for service in configuration.services.values():
                assign_owners(service, members)

        held = _count_slots(configuration, members)
        row = {
            "owners of all services, ms": time_call(assign),
            "largest share of slots over the mean": max(held) * count / sum(held),
            "instances that own nothing": held.count(0),
        }
        rows.append((count, row))
    return _collect(rows)


def measure_address_responses() -> list[Series]:
    """Measure one address response, by instances."""
    service = next(iter(make_configuration(*SIZES[-1]).services.values()))
    rows: list[tuple[float, Row]] = []
    for count in INSTANCES:
        view = _make_view(count)
        members = [(e.name, e.data_centre) for e in view.instances]
        ownership = assign_owners(service, members)

        def build_response(view: View = view, ownership: object = ownership) -> bytes:
            built = build_address_response(
                service,
                ownership,  # type: ignore[arg-type]
                view,
                data_centre=DATA_CENTRES[0],
                version=1,
                rng=random.Random(1),
            )
            return json.dumps(attrs.asdict(built)).encode()

        cost_ms = time_call(build_response)
        row = {"address answer, ms": cost_ms, "answers/s of a core": 1000 / cost_ms}
        rows.append((count, row))
    return _collect(rows)


def measure_dispatch() -> list[Series]:
    """Measure the dispatcher by number of services, at an owner of all of them."""
    return _collect(
        (services, _measure_one_dispatch(services, targets))
        for services, targets in TARGETS_BY_SERVICES
    )


def measure_load() -> list[Series]:
    """Measure the target tracker, limits and probes at the owner of all targets."""
    return _collect(
        (targets, asyncio.run(_measure_one_load(services, targets)))
        for services, targets in LOAD_SIZES
    )


def _count_slots(
    configuration: Configuration, members: list[tuple[str, str]]
) -> list[int]:
    held = dict.fromkeys((name for name, _ in members), 0)
    for service in configuration.services.values():
        owners = assign_owners(service, members).targets
        for target in service.targets:
            held[owners[target.name]] += target.slots
    return list(held.values())


def _measure_one_configuration(services: int, targets: int) -> Row:
    configuration = make_configuration(services, targets)
    document = render_configuration(configuration)
    text = json.dumps(document, separators=(",", ":"))
    compact = json.dumps(_drop_defaults(document), separators=(",", ":"))
    snapshot = Record(sequence=1, kind="snapshot", body=_drop_defaults(document))
    # Built without `evaluate_record`, which refuses bodies above 1 MB.
    state = ConfigurationState.build(1, configuration)
    patch = _make_patch(configuration)
    history = History()
    history.state = state
    record = history.records_after(0)[0]
    return {
        "JSON with all fields, bytes": len(text),
        "JSON without defaults, bytes": len(compact),
        "largest service as one record, bytes": _measure_record(document),
        "parse JSON and build, ms": time_call(
            lambda: build_configuration(json.loads(compact))
        ),
        "judge the snapshot, ms": time_call(
            lambda: evaluate_record(ConfigurationState(), snapshot)
        ),
        "judge a patch of one field, ms": time_call(
            lambda: evaluate_record(state, patch)
        ),
        "digest all, ms": time_call(lambda: digest_configuration(configuration)),
        "render the state for a peer, ms": time_call(history._render_state),
        "adopt the state of a peer, ms": time_call(
            lambda: History().catch_up([record], 0.0)
        ),
        **_measure_apply(configuration, state, patch),
    }


def _measure_apply(
    configuration: Configuration, state: ConfigurationState, patch: Record
) -> Row:
    accepted = evaluate_record(state, patch)
    after = getattr(accepted, "state").configuration  # noqa: B009
    instance = _make_instance(ManualClock())
    held = _measure_memory(lambda: _apply_configuration(instance, configuration))
    pair = itertools.cycle((after, configuration))
    return {
        "apply a patch in an instance, ms": time_call(
            lambda: _apply_configuration(instance, next(pair))
        ),
        "memory of the model, MiB": _measure_memory(
            lambda: build_configuration(
                json.loads(json.dumps(render_configuration(configuration)))
            )
        ),
        "memory of state derived from it, MiB": held,
    }


def _measure_one_dispatch(services: int, targets: int) -> Row:
    configuration = make_configuration(services, targets)
    dispatcher = Dispatcher(NAME, random.Random(1))
    for service in configuration.services.values():
        dispatcher.set_service(service)
        dispatcher.set_ownership(
            service.name, assign_owners(service, [LOCAL_MEMBER]), 0.0
        )
        for target in service.targets:
            dispatcher.set_limit(target.name, target.slots, 0.0)
    numbers = itertools.count()
    names = itertools.cycle(configuration.services)

    def submit_and_finish(name: str = "") -> None:
        work = WorkItem(
            request_id=str(next(numbers)),
            service=next(names),
            route="lookup",
            priority=Priority.INTERACTIVE,
            idempotent=True,
            deadline=1e6,
            arrived=0.0,
        )
        dispatcher.submit(work, 0.0)
        dispatcher.finish(work.request_id, AttemptResult.ANSWERED, 1.0)

    return {
        "submit and finish, us": 1000 * time_call(submit_and_finish),
        "next_due, us": 1000 * time_call(lambda: dispatcher.next_due(0.0)),
        "tick with nothing due, us": 1000 * time_call(lambda: dispatcher.tick(0.0)),
    }


async def _measure_one_load(services: int, targets: int) -> Row:
    configuration = make_configuration(services, targets)
    clock = ManualClock()
    instance = _make_instance(clock)
    _apply_configuration(instance, configuration)
    instance._owners.update(configuration.services, [LOCAL_MEMBER])
    instance._plan.update(configuration, 0)
    names = itertools.cycle(
        [t.name for s in configuration.services.values() for t in s.targets]
    )

    def observe() -> None:
        clock.advance(0.001)
        instance._limits.observe(next(names), _make_observation(clock.now))

    def tick() -> None:
        clock.advance(100.0)
        instance.prober.tick()

    for service in configuration.services.values():
        for target in service.targets:
            instance.target_tracker.observe(target.name, _READY_OBSERVATION, 0.0)
    row = {
        "observe an attempt, ms": time_call(observe),
        "refresh limits, all heard of, ms": time_call(instance._limits.refresh),
        "describe for metrics, ms": time_call(
            lambda: instance.target_tracker.describe(0.0)
        ),
        "prober tick, ms": time_call(tick),
    }
    text = json.dumps({"entries": _list_entries(configuration)}).encode()
    row["published list, bytes"] = len(text)
    row["parse the published list, ms"] = time_call(lambda: parse_list(text))
    row["refresh limits, 1 in 19 heard of, ms"] = _measure_sparse_refresh(
        instance, clock
    )
    row["refresh, share of a core"] = row["refresh limits, all heard of, ms"] / 50.0
    row["prober, share of a core"] = row["prober tick, ms"] / 100.0
    await instance.prober.stop()
    return row


def _measure_sparse_refresh(instance: Instance, clock: ManualClock) -> float:
    clock.advance(EVIDENCE_EXPIRY_MS)
    fresh = attrs.evolve(_READY_OBSERVATION, sent=clock.now)
    for target_status in instance.target_tracker.describe(clock.now)[::19]:
        instance.target_tracker.observe(target_status.target, fresh, clock.now)
    instance._limits.refresh()
    return time_call(instance._limits.refresh)


def _list_entries(configuration: Configuration) -> list[dict[str, str]]:
    return [
        {"kind": "target", "state": "live", "name": target.name}
        for service in configuration.services.values()
        for target in service.targets
    ]


def _make_observation(now: float) -> AttemptObservation:
    return AttemptObservation(
        result=AttemptResult.ANSWERED,
        duration_ms=8.0,
        status=200,
        load=LoadReport(in_flight=1, slots=4, state=TargetState.READY),
        sent=now,
    )


def _make_instance(clock: ManualClock) -> Instance:
    settings = Settings(
        name=NAME,
        data_centre=DATA_CENTRES[0],
        caller_address=ADDRESS,
        peer_address=ADDRESS,
        operator_address=ADDRESS,
        platform_address=ADDRESS,
    )
    return Instance(settings, clock=clock, rng=random.Random(1), incarnation=1)


def _apply_configuration(instance: Instance, configuration: Configuration) -> None:
    instance.history.state = ConfigurationState(sequence=1, configuration=configuration)
    instance._take_configuration(configuration)


def _make_view(count: int) -> View:
    return View.build(
        InstanceEntry(
            name=f"instance-{number}",
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            caller_address=f"10.20.{number % 250}.{number // 250}:7100",
            peer_address=f"10.20.{number % 250}.{number // 250}:7200",
            status=Status.READY,
        )
        for number in range(count)
    )


def _make_patch(configuration: Configuration) -> Record:
    name = next(iter(configuration.services))
    change = {"set": f"services/{name}/timeout_ms", "value": 4000.0}
    return Record(sequence=2, kind="patch", base_version=1, body=[change])


def _measure_record(document: dict[str, Any]) -> int:
    services = _drop_defaults(document)["services"]
    bodies = [
        [{"set": f"services/{name}", "value": value}]
        for name, value in services.items()
    ]
    return max(len(json.dumps(body, separators=(",", ":"))) for body in bodies)


def _drop_defaults(document: dict[str, Any]) -> dict[str, Any]:
    services = {
        name: {
            "targets": [
                {k: v for k, v in target.items() if k != "connections"}
                for target in service["targets"]
            ],
            "routes": service["routes"],
        }
        for name, service in document["services"].items()
    }
    return {"version": document["version"], "services": services}


def _measure_memory(build: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return held / MIB


def _collect(rows: Iterable[tuple[float, Row]]) -> list[Series]:
    measured = list(rows)
    return [
        Series(name=name, points=tuple((size, row[name]) for size, row in measured))
        for name in measured[0][1]
    ]
