"""Adapter between the users' platform and currantline.

The platform's names of fields, keys, paths and headers appear only in this package. The
check of a configuration, `configuration_check`, is imported by the command line only:
each module takes instances time to start.
"""

from currantline.platform._documents import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    TARGET_PREFIX,
    decode_evacuation,
    decode_route_table,
    decode_target,
)
from currantline.platform._endpoints import (
    make_directory_handler,
    make_readiness_handler,
)
from currantline.platform._headers import HEADERS
from currantline.platform._revisions import (
    REVISION_PATTERN,
    describe_revision,
    find_era,
    find_era_start,
    find_number,
)
from currantline.platform._settings import (
    SETTINGS_VARIABLE,
    InstanceSettings,
    decode_settings,
    read_settings,
)
from currantline.platform._store import RecordBatch, StoreClient

__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATION_PREFIX",
    "HEADERS",
    "REVISION_PATTERN",
    "SETTINGS_VARIABLE",
    "TARGET_PREFIX",
    "InstanceSettings",
    "RecordBatch",
    "StoreClient",
    "decode_evacuation",
    "decode_route_table",
    "decode_settings",
    "decode_target",
    "describe_revision",
    "find_era",
    "find_era_start",
    "find_number",
    "make_directory_handler",
    "make_readiness_handler",
    "read_settings",
]
