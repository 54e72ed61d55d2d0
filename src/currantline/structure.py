"""Conversion of mappings to attrs classes with one-line error messages."""

import math
from collections.abc import Iterator
from typing import Any

import cattrs
from cattrs.errors import AttributeValidationNote, IterableValidationNote

from currantline.exceptions import InvalidValueError

__all__ = [
    "describe_failure",
    "make_converter",
]

UNKNOWN_KEY = "unknown key"


def make_converter() -> cattrs.Converter:
    """Return a converter that rejects unknown keys and wrong types."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    for scalar in (str, int, bool):
        converter.register_structure_hook(scalar, _require_type)
    converter.register_structure_hook(float, _require_number)
    return converter


def describe_failure(error: BaseException) -> tuple[str, str]:
    """Return the path and the reason of the first validation error.

    Parameters
    ----------
    error : BaseException
        Error raised by the converter.

    Returns
    -------
    tuple of str
        Path of keys to the value, joined by dots, and why the value is invalid.
    """
    failures = list(_iterate_failures(error, ()))
    # A misspelt key is reported both as unknown and as missing; the unknown key is the
    # one to correct.
    unknown = [failure for failure in failures if failure[1] == UNKNOWN_KEY]
    return [*unknown, *failures, ("", str(error))][0]


def _require_type(value: Any, expected: type) -> Any:
    if type(value) is not expected:
        raise InvalidValueError(f"{value!r} is not of type {expected.__name__}")
    return value


def _require_number(value: Any, _: type) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidValueError(f"{value!r} is not a number")
    if not math.isfinite(value):
        raise InvalidValueError(f"{value!r} is not a finite number")
    return float(value)


def _iterate_failures(
    error: BaseException, path: tuple[str, ...]
) -> Iterator[tuple[str, str]]:
    path = path + _find_key(error)
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            yield from _iterate_failures(inner, path)
        return
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        yield ".".join((*path, sorted(error.extra_fields)[0])), UNKNOWN_KEY
    elif isinstance(error, KeyError):
        yield ".".join(path), "required key is missing"
    elif isinstance(error, InvalidValueError):
        own_path = (error.path,) if error.path else ()
        yield ".".join(path + own_path), error.message
    else:
        yield ".".join(path), " ".join(str(error).split())


def _find_key(error: BaseException) -> tuple[str, ...]:
    for note in getattr(error, "__notes__", ()):
        if isinstance(note, AttributeValidationNote):
            return (note.name,)
        if isinstance(note, IterableValidationNote):
            return (str(note.index),)
    return ()
