"""Digest of a configuration."""

import json

import xxhash

from currantline.configuration._model import Configuration
from currantline.configuration._parse import render_configuration
from currantline.configuration._schema import RELEASE_SCHEMA, Schema

__all__ = ["digest_configuration"]


def digest_configuration(
    configuration: Configuration, schema: Schema = RELEASE_SCHEMA
) -> int:
    """Return the digest of a configuration, the same in every process.

    Fields above the schema level of the configuration are left out, so that an
    older and a newer release compute the same digest.

    Parameters
    ----------
    configuration : Configuration
        What to digest.
    schema : Schema
        Fields that this release knows.

    Returns
    -------
    int
        64-bit xxhash of the canonical JSON text.
    """
    document = render_configuration(configuration)
    schema.restrict(document, configuration.schema_level)
    text = json.dumps(document, sort_keys=True, separators=(",", ":"))
    return xxhash.xxh3_64_intdigest(text.encode())
