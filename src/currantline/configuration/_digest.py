"""Digests of configurations."""

import json
from collections.abc import Mapping
from typing import Any

import attrs
import xxhash

from currantline.configuration._model import Configuration, Service
from currantline.configuration._parse import render_configuration, render_service
from currantline.configuration._schema import RELEASE_SCHEMA, Schema

__all__ = ["combine_digests", "digest_configuration", "digest_service"]


def digest_configuration(
    configuration: Configuration, schema: Schema = RELEASE_SCHEMA
) -> int:
    """Return the digest of a configuration, which is the same in every process.

    Fields above the schema level of the configuration are excluded, so that older
    and newer releases compute the same digest.

    Parameters
    ----------
    configuration : Configuration
        Configuration to digest.
    schema : Schema
        Fields that this release knows.

    Returns
    -------
    int
        64-bit xxhash of the canonical JSON text, in which each service is replaced
        by its digest.
    """
    level = configuration.schema_level
    services = configuration.services.values()
    digests = {s.name: digest_service(s, level, schema) for s in services}
    return combine_digests(configuration, digests, schema)


def digest_service(service: Service, level: int, schema: Schema) -> int:
    """Return the digest of a service at a schema level."""
    document = {"services": {service.name: render_service(service)}}
    return _digest(schema.restrict(document, level))


def combine_digests(
    configuration: Configuration, digests: Mapping[str, int], schema: Schema
) -> int:
    """Return the digest of a configuration, given the digests of its services."""
    document = render_configuration(attrs.evolve(configuration, services={}))
    schema.restrict(document, configuration.schema_level)
    document["services"] = digests
    return _digest(document)


def _digest(document: Mapping[str, Any]) -> int:
    text = json.dumps(document, sort_keys=True, separators=(",", ":"))
    return xxhash.xxh3_64_intdigest(text.encode())
