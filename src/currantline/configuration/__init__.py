"""Configuration model, versions and distribution between instances."""

from typing import TYPE_CHECKING

from currantline.configuration._changes import (
    Change,
    Group,
    RemoveMember,
    RemoveService,
    SetField,
    SetMember,
    SetService,
    SetServiceField,
    apply_changes,
    compute_changes,
    parse_changes,
    render_change,
)
from currantline.configuration._digest import digest_configuration
from currantline.configuration._evaluation import (
    evaluate_record,
    find_incompatibility,
    read_level,
)
from currantline.configuration._history import EvaluatedRecord, History, HistoryCounts
from currantline.configuration._limits import find_violation
from currantline.configuration._model import (
    Configuration,
    Priority,
    Route,
    Service,
    Target,
)
from currantline.configuration._parse import (
    build_configuration,
    parse_configuration,
    render_configuration,
)
from currantline.configuration._record import (
    Accepted,
    ConfigurationState,
    Reason,
    Record,
    RecordKind,
    Refused,
    read_record,
    render_record,
)
from currantline.configuration._schema import RELEASE_SCHEMA, Schema
from currantline.lazy import import_lazily

if TYPE_CHECKING:
    from currantline.configuration._reader import (
        HttpRecordService,
        ReaderCounts,
        ReaderOptions,
        RecordReader,
        RecordService,
        select_readers,
    )
    from currantline.configuration._updater import (
        ConfigurationUpdater,
        RecordFetcher,
        decode_records,
        encode_record,
    )

__all__ = [
    "RELEASE_SCHEMA",
    "Accepted",
    "Change",
    "Configuration",
    "ConfigurationState",
    "ConfigurationUpdater",
    "EvaluatedRecord",
    "Group",
    "History",
    "HistoryCounts",
    "HttpRecordService",
    "Priority",
    "ReaderCounts",
    "ReaderOptions",
    "Reason",
    "Record",
    "RecordFetcher",
    "RecordKind",
    "RecordReader",
    "RecordService",
    "Refused",
    "RemoveMember",
    "RemoveService",
    "Route",
    "Schema",
    "Service",
    "SetField",
    "SetMember",
    "SetService",
    "SetServiceField",
    "Target",
    "apply_changes",
    "build_configuration",
    "compute_changes",
    "decode_records",
    "digest_configuration",
    "encode_record",
    "evaluate_record",
    "find_incompatibility",
    "find_violation",
    "parse_changes",
    "parse_configuration",
    "read_level",
    "read_record",
    "render_change",
    "render_configuration",
    "render_record",
    "select_readers",
]

# Modules with tasks and sockets are imported on first use, so that the decision cores
# can be used without them. The lazy `__getattr__` is hidden from mypy, which would
# accept any name with it.
if not TYPE_CHECKING:
    __getattr__ = import_lazily(
        __name__,
        {
            "_updater": (
                "ConfigurationUpdater",
                "RecordFetcher",
                "decode_records",
                "encode_record",
            ),
            "_reader": (
                "HttpRecordService",
                "ReaderCounts",
                "ReaderOptions",
                "RecordReader",
                "RecordService",
                "select_readers",
            ),
        },
    )
