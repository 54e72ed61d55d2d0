"""Lazy import of a package's public names."""

import importlib
import sys
from collections.abc import Callable, Mapping
from typing import Any

__all__ = ["import_lazily"]


def import_lazily(
    package: str, names: Mapping[str, tuple[str, ...]]
) -> Callable[[str], Any]:
    """Return a ``__getattr__`` for a package.

    Parameters
    ----------
    package : str
        Name of the package.
    names : mapping of str to tuple of str
        Public names of the package, keyed by the submodule that defines them.

    Returns
    -------
    callable
        Imports the submodule of a name and returns its value.
    """
    modules = {
        name: module for module, module_names in names.items() for name in module_names
    }

    def get_attribute(name: str) -> Any:
        if name not in modules:
            # Raises the standard AttributeError for a missing module attribute.
            return object.__getattribute__(sys.modules[package], name)
        module = importlib.import_module(f"{package}.{modules[name]}")
        return getattr(module, name)

    return get_attribute
