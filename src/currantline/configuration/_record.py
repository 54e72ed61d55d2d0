"""Published records and the state that they lead to."""

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
    """Kinds of record.

    ``STATE`` travels between instances only: it stands for all records up to its
    sequence. A published record of this kind is malformed.
    """

    SNAPSHOT = "snapshot"
    PATCH = "patch"
    STATE = "state"


class Reason(enum.Enum):
    """Why a record is refused."""

    STALE_BASE_VERSION = "stale-base-version"
    INVALID = "invalid"
    LIMIT_EXCEEDED = "limit-exceeded"
    SCHEMA_LEVEL_NOT_IN_FORCE = "schema-level-not-in-force"
    MALFORMED = "malformed"
    UNEXPECTED_SNAPSHOT = "unexpected-snapshot"


@attrs.frozen(kw_only=True)
class Record:
    """A record as published, not yet judged.

    Fields other than ``sequence`` are kept as they were received, so that a
    malformed record is refused by every instance instead of stopping its log.

    Parameters
    ----------
    sequence : int
        Position in the log of the configuration service, from 1.
    kind : str
        Value of a `RecordKind`.
    base_version : int
        Version that a patch was made against.
    author : str
        Who published the record.
    schema_level : int
        Highest level of the fields that the record uses.
    body : object
        Configuration document of a snapshot, list of changes of a patch.
    """

    sequence: int
    kind: Any
    base_version: Any = 0
    author: Any = ""
    schema_level: Any = 1
    body: Any = None


@attrs.frozen(kw_only=True)
class ConfigurationState:
    """What the records up to a sequence lead to.

    Parameters
    ----------
    sequence : int
        Last record judged, 0 for none.
    configuration : Configuration or None
        Configuration in force, None before the first snapshot.
    digest : int
        Digest of the configuration in force; 0 for none, and for one of a schema
        level that this release does not know.
    service_digests : mapping of str to int
        Digest of each service, kept for the services that a patch leaves alone.
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
            Last record judged.
        configuration : Configuration
            Configuration in force.
        schema : Schema
            Fields that this release knows.
        before : ConfigurationState, optional
            State before, whose digests hold for services that are the same object.
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
    """Verdict: nothing of the record takes effect.

    Parameters
    ----------
    reason : Reason
        Why.
    detail : str
        One line for people.
    """

    reason: Reason
    detail: str


def read_record(document: Any) -> Record:
    """Return the record of a plain mapping.

    Parameters
    ----------
    document : object
        A published record; keys that are not known are ignored.

    Raises
    ------
    RecordError
        If there is no sequence, without which a record has no place in the log.
    """
    sequence = document.get("sequence") if isinstance(document, Mapping) else None
    if type(sequence) is not int or sequence < 1:
        raise RecordError(f"{sequence!r} is not a sequence of a record")
    names = [field.name for field in attrs.fields(Record)]
    return Record(**{name: document[name] for name in names if name in document})


def render_record(record: Record) -> dict[str, Any]:
    """Return a record as a plain mapping, the inverse of reading it."""
    return attrs.asdict(record, recurse=False)


def measure_depth(body: Any) -> int:
    """Return how deep lists and mappings are nested in a body.

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
    """Return the JSON text of a body, or None if it has none."""
    try:
        return json.dumps(body, allow_nan=False, separators=(",", ":"))
    except (TypeError, ValueError, RecursionError):
        return None
