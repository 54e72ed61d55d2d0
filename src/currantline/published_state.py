"""Configuration and targets in force, from the records that the platform publishes."""

from collections.abc import Callable, Collection, Iterable

from currantline.clock import Clock
from currantline.exceptions import ConfigurationError
from currantline.placement import (
    PublishedTarget,
    StartHistory,
    TargetRegistry,
    WarmupBound,
    WarmupTerms,
)
from currantline.platform import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    TARGET_PREFIX,
    decode_evacuation,
    decode_route_table,
    decode_target,
    describe_revision,
    find_era,
)
from currantline.replica import Record
from currantline.routing import CallerLimits, RouteTable
from currantline.telemetry import EventLog

__all__ = ["PublishedState"]


class PublishedState:
    """Configuration and targets in force.

    Parameters
    ----------
    targets : TargetRegistry
        Known targets, which are updated.
    data_centres : collection of str
        Names of the data centres in the settings.
    on_evacuation : callable
        Called after the evacuation of a data centre has begun.
    warmup_terms : WarmupTerms or None
        Terms of the bound on the requests to cold targets, None for no bound.
    clock : Clock
        Source of time.
    log : EventLog
        Log of events.

    Attributes
    ----------
    table : RouteTable or None
        Route table in force, None until a configuration is known.
    """

    def __init__(
        self,
        targets: TargetRegistry,
        *,
        data_centres: Collection[str],
        on_evacuation: Callable[[], None],
        warmup_terms: WarmupTerms | None = None,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._targets = targets
        self._data_centres = data_centres
        self._on_evacuation = on_evacuation
        self._warmup_terms = warmup_terms
        self._clock = clock
        self._log = log
        self._starts = StartHistory()
        self.table: RouteTable | None = None

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 if there is none."""
        return self.table.version if self.table is not None else 0

    @property
    def limits(self) -> CallerLimits:
        """Limits for caller requests."""
        return self.table.limits if self.table is not None else CallerLimits()

    @property
    def max_connections(self) -> int | None:
        """Connections that a target of any service accepts, None without a limit."""
        services = self.table.services.values() if self.table is not None else ()
        limits = [s.max_connections for s in services if s.max_connections is not None]
        return min(limits, default=None)

    @property
    def has_uploads(self) -> bool:
        """Whether callers send large bodies on some route."""
        return self.table is not None and self.table.has_uploads

    @property
    def unknown_kinds(self) -> int:
        """Number of routes of an unknown kind."""
        return len(self.table.unknown_kinds) if self.table is not None else 0

    def apply(self, changed: Iterable[Record]) -> None:
        """Apply changed records; invalid ones are logged and not used.

        Evacuations come first, so that no target of the same batch is used before.
        """
        for record in sorted(changed, key=lambda record: not _is_evacuation(record)):
            try:
                self._apply_record(record)
            except Exception as error:
                # One record must not keep the instance from following the others.
                self._log.write("record_failed", key=record.key, reason=repr(error))

    def _apply_record(self, record: Record) -> None:
        if record.key == CONFIGURATION_KEY:
            self._apply_configuration(record)
        elif record.key.startswith(TARGET_PREFIX):
            self._apply_target(record)
        elif record.key.startswith(EVACUATION_PREFIX):
            self._apply_evacuation(record)

    def _apply_configuration(self, record: Record) -> None:
        if record.document is None:
            revision = describe_revision(record.revision)
            self._log.write("configuration_removed", **revision)
            return
        try:
            table = decode_route_table(record.document)
        except ConfigurationError as error:
            self._log.write("configuration_refused", reason=str(error))
            return
        if self.table is not None and table.version <= self.table.version:
            self._log.write("configuration_older", version=table.version)
            return
        self._log.write(
            "configuration_applied",
            version=table.version,
            previous=self.version,
            **describe_revision(record.revision),
        )
        if table.unknown_kinds:
            self._log.write("unknown_kinds", routes=dict(table.unknown_kinds))
        self.table = table
        bounds = self._find_warmup_bounds(table)
        self._targets.set_warmup_bounds(bounds, self._clock.read())

    def _find_warmup_bounds(self, table: RouteTable) -> dict[str, WarmupBound]:
        terms = self._warmup_terms
        if terms is None:
            return {}
        return {
            service.name: terms.make_bound(service.warmup_ms, service.warmup_per_s)
            for service in table.services.values()
            if service.warmup_per_s is not None and service.warmup_ms > 0.0
        }

    def _apply_evacuation(self, record: Record) -> None:
        try:
            data_centre = decode_evacuation(record.key)
        except ConfigurationError as error:
            self._log.write("evacuation_refused", key=record.key, reason=str(error))
            return
        if record.is_removed:
            found = self._targets.end_evacuation(data_centre)
            event = "data_centre_returned"
        else:
            found = self._targets.start_evacuation(data_centre)
            # It would still apply to a target that names this data centre later.
            is_unknown = not found and data_centre not in self._data_centres
            event = "evacuation_unknown" if is_unknown else "data_centre_evacuated"
        if found is None:
            return
        self._log.write(
            event,
            data_centre=data_centre,
            **describe_revision(record.revision),
            targets=len(found),
        )
        if not record.is_removed:
            self._on_evacuation()

    def _apply_target(self, record: Record) -> None:
        name = record.key.removeprefix(TARGET_PREFIX)
        if record.document is None:
            self._targets.remove(name)
            revision = describe_revision(record.revision)
            self._log.write("target_gone", target=name, **revision)
            return
        try:
            entry = decode_target(record.key, record.document)
        except ConfigurationError as error:
            self._log.write("target_refused", target=name, reason=str(error))
            self._targets.remove(name)
            return
        if self._starts.is_old(entry, find_era(record.revision)):
            self._log_old_entry(entry, record)
            return
        current = self._targets.find(name)
        now = self._clock.read()
        was_cold = current is not None and current.is_cold(now)
        self._targets.update(entry, now)
        self._note_cold(name, was_cold=was_cold)
        if current is None or current.published.is_draining != entry.is_draining:
            self._log.write(
                "target_draining" if entry.is_draining else "target_ready",
                target=name,
                service=entry.service,
                **describe_revision(record.revision),
            )

    def _log_old_entry(self, entry: PublishedTarget, record: Record) -> None:
        current = self._targets.find(entry.name)
        if current is not None and current.published == entry:
            return
        self._log.write(
            "target_older",
            target=entry.name,
            sequence=entry.sequence,
            **describe_revision(record.revision),
        )

    def _note_cold(self, name: str, *, was_cold: bool) -> None:
        target, now = self._targets.find(name), self._clock.read()
        if target is None or was_cold or not target.is_cold(now):
            return
        target.is_noted_cold = True
        left_ms = round(target.cold_until_ms - now)
        self._log.write("target_cold", target=name, left_ms=left_ms, source="entry")


def _is_evacuation(record: Record) -> bool:
    return record.key.startswith(EVACUATION_PREFIX)
