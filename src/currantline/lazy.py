"""Public names of a package that are imported on first use."""

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
        Public names by the module of the package that defines them.

    Returns
    -------
    callable
        Imports a name when it is first read.
    """
    modules = {
        name: module for module, module_names in names.items() for name in module_names
    }

    def get_attribute(name: str) -> Any:
        if name not in modules:
            # Fails as for any name that a module does not have.
            return object.__getattribute__(sys.modules[package], name)
        module = importlib.import_module(f"{package}.{modules[name]}")
        return getattr(module, name)

    return get_attribute
