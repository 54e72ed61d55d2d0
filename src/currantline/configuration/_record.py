"""Published records and the state that results from them."""

import enum
import json
from collections.abc import Mapping
from typing import Any

import attrs

from currantline.configuration._digest import combine_digests, digest_service
from currantline.configuration._model import Configuration
from currantline.configuration._schema import RELEASE_SCHEMA, Schema
from currantline.exceptions import RecordError

__all__ = [
    "Accepted",
    "ConfigurationState",
    "Reason",
    "Record",
    "RecordKind",
    "Refused",
    "encode_body",
    "measure_depth",
    "read_record",
    "render_record",
]


class RecordKind(enum.Enum):
    """Kinds of records.

    ``STATE`` is exchanged between instances only and replaces all records up to its
    sequence. A published record of this kind is malformed.
    """

    SNAPSHOT = "snapshot"
    PATCH = "patch"
    STATE = "state"


class Reason(enum.Enum):
    """Reasons for which a record is refused."""

    STALE_BASE_VERSION = "stale-base-version"
    INVALID = "invalid"
    LIMIT_EXCEEDED = "limit-exceeded"
    SCHEMA_LEVEL_NOT_IN_FORCE = "schema-level-not-in-force"
    MALFORMED = "malformed"
    UNEXPECTED_SNAPSHOT = "unexpected-snapshot"


@attrs.frozen(kw_only=True)
class Record:
    """A record as published, before its evaluation.

    Fields other than ``sequence`` are kept as received, so that every instance
    refuses a malformed record instead of being unable to read past it.

    Parameters
    ----------
    sequence : int
        Position in the log of the configuration service, from 1.
    kind : str
        Value of a `RecordKind`.
    base_version : int
        Version that a patch is based on.
    author : str
        Author of the record.
    schema_level : int
        Highest level of the fields that the record uses.
    body : object
        Configuration document of a snapshot, or list of changes of a patch.
    """

    sequence: int
    kind: Any
    base_version: Any = 0
    author: Any = ""
    schema_level: Any = 1
    body: Any = None


@attrs.frozen(kw_only=True)
class ConfigurationState:
    """State that results from the records up to a sequence.

    Parameters
    ----------
    sequence : int
        Sequence of the last evaluated record, 0 for none.
    configuration : Configuration or None
        Configuration in force, None before the first snapshot.
    digest : int
        Digest of the configuration in force; 0 if there is none or if this release
        does not know its schema level.
    service_digests : mapping of str to int
        Digest of each service, reused for services that a patch does not change.
    """

    sequence: int = 0
    configuration: Configuration | None = None
    digest: int = 0
    service_digests: Mapping[str, int] = attrs.field(factory=dict, eq=False, repr=False)

    @classmethod
    def build(
        cls,
        sequence: int,
        configuration: Configuration,
        schema: Schema = RELEASE_SCHEMA,
        before: "ConfigurationState | None" = None,
    ) -> "ConfigurationState":
        """Return the state with the digest of its configuration.

        Parameters
        ----------
        sequence : int
            Sequence of the last evaluated record.
        configuration : Configuration
            Configuration in force.
        schema : Schema
            Fields that this release knows.
        before : ConfigurationState, optional
            Previous state, whose digests are reused for services that are the same
            object.
        """
        level = configuration.schema_level
        if level > schema.known_level:
            return cls(sequence=sequence, configuration=configuration)
        digests = _reuse_digests(configuration, before)
        for name, service in configuration.services.items():
            if name not in digests:
                digests[name] = digest_service(service, level, schema)
        return cls(
            sequence=sequence,
            configuration=configuration,
            digest=combine_digests(configuration, digests, schema),
            service_digests=digests,
        )

    @property
    def version(self) -> int:
        """Version in force, 0 for none."""
        return self.configuration.version if self.configuration else 0

    @property
    def schema_level(self) -> int:
        """Schema level in force, 0 for none."""
        return self.configuration.schema_level if self.configuration else 0


@attrs.frozen(kw_only=True)
class Accepted:
    """Verdict: the record takes effect.

    Parameters
    ----------
    state : ConfigurationState
        State after the record.
    """

    state: ConfigurationState


@attrs.frozen(kw_only=True)
class Refused:
    """Verdict: no part of the record takes effect.

    Parameters
    ----------
    reason : Reason
        Reason for the refusal.
    detail : str
        Description in one line, for operators.
    """

    reason: Reason
    detail: str


def read_record(document: Any) -> Record:
    """Build a record from a plain mapping.

    Parameters
    ----------
    document : object
        A published record; unknown keys are ignored.

    Raises
    ------
    RecordError
        If the sequence, and so the position in the log, is missing or invalid.
    """
    sequence = document.get("sequence") if isinstance(document, Mapping) else None
    if type(sequence) is not int or sequence < 1:
        raise RecordError(f"{sequence!r} is not a valid sequence of a record")
    names = [field.name for field in attrs.fields(Record)]
    return Record(**{name: document[name] for name in names if name in document})


def render_record(record: Record) -> dict[str, Any]:
    """Return a record as a plain mapping, inverse to `read_record`."""
    return attrs.asdict(record, recurse=False)


def measure_depth(body: Any) -> int:
    """Return how deeply lists and mappings are nested in a body.

    Examples
    --------
    >>> measure_depth([{"set": "max_instances", "value": [1]}])
    3
    """
    depth = 0
    level = [body]
    while level := [item for item in level if isinstance(item, list | dict)]:
        depth += 1
        level = [
            inner
            for item in level
            for inner in (item.values() if isinstance(item, dict) else item)
        ]
    return depth


def _reuse_digests(
    configuration: Configuration, before: ConfigurationState | None
) -> dict[str, int]:
    old = before.configuration if before else None
    if before is None or old is None or old.schema_level != configuration.schema_level:
        return {}
    return {
        name: before.service_digests[name]
        for name, service in configuration.services.items()
        if old.services.get(name) is service
    }


def encode_body(body: Any) -> str | None:
    """Return the JSON text of a body, or None if it cannot be encoded."""
    try:
        return json.dumps(body, allow_nan=False, separators=(",", ":"))
    except (TypeError, ValueError, RecursionError):
        return None
