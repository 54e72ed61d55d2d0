"""Configuration and targets in force, from the records that the platform publishes."""

from collections.abc import Iterable

from currantline.clock import Clock
from currantline.exceptions import ConfigurationError
from currantline.placement import PublishedTarget, StartHistory, TargetRegistry
from currantline.platform import (
    CONFIGURATION_KEY,
    TARGET_PREFIX,
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
    clock : Clock
        Source of time.
    log : EventLog
        Log of events.

    Attributes
    ----------
    table : RouteTable or None
        Route table in force, None until a configuration is known.
    """

    def __init__(self, targets: TargetRegistry, *, clock: Clock, log: EventLog) -> None:
        self._targets = targets
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
    def unknown_kinds(self) -> int:
        """Number of routes of an unknown kind."""
        return len(self.table.unknown_kinds) if self.table is not None else 0

    def apply(self, changed: Iterable[Record]) -> None:
        """Apply changed records; invalid ones are logged and not used."""
        for record in changed:
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
        self._targets.update(entry, self._clock.read())
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
