"""Lazy imports of a package's modules, on the first use of a name (PEP 562).

A hosted program starts within some tenths of a second of processor time, most
of which is spent on imports. Modules that it never uses must not add to that.
"""

import importlib
from collections.abc import Callable, Mapping
from typing import Any

__all__ = ["lazy_imports"]


def lazy_imports(
    package: str, module_by_name: Mapping[str, str]
) -> Callable[[str], Any]:
    """Returns a `__getattr__` for a package.

    Args:
        package: `__name__` of the package.
        module_by_name: the submodule that defines each name.
    """

    def get_attribute(name: str) -> Any:
        module = module_by_name.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no {name!r}")
        return getattr(importlib.import_module(f"{package}.{module}"), name)

    return get_attribute
