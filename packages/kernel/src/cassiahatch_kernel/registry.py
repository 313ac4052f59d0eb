"""The registry in which plug-ins register themselves."""

from __future__ import annotations

from collections.abc import Callable
from importlib.metadata import entry_points
from typing import Any, TypeVar

from cassiahatch_kernel.errors import CodedError

ENTRY_POINT_GROUP = "cassiahatch.plugins"
"""Entry points of the plug-ins that are loaded by default."""
MESH_GROUP = "cassiahatch.mesh"
"""Entry points of the plug-ins of nodes that run as sidecars on the platform."""

Factory = TypeVar("Factory", bound=Callable[..., Any])


class UnknownPluginError(CodedError):
    """No plug-in of the given kind has the given name."""

    code = "unknown_plugin"


class Registry:
    """Plug-in factories, by kind and name."""

    __slots__ = ("_factories",)

    def __init__(self) -> None:
        self._factories: dict[tuple[str, str], Callable[..., Any]] = {}

    def register(self, kind: str, name: str) -> Callable[[Factory], Factory]:
        """Return a decorator that registers a factory.

        Parameters
        ----------
        kind : str
            Extension point, such as ``"admission"``.
        name : str
            Name by which settings select the plug-in.
        """

        def add(factory: Factory) -> Factory:
            self._factories[kind, name] = factory
            return factory

        return add

    def create(self, kind: str, name: str, *args: Any, **options: Any) -> Any:
        """Create an instance of the plug-in ``name`` of ``kind``.

        Raises
        ------
        UnknownPluginError
            If nothing is registered under that kind and name.
        """
        factory = self._factories.get((kind, name))
        if factory is None:
            names = ", ".join(self.list_names(kind)) or "none"
            raise UnknownPluginError(f"no {kind} plug-in {name!r} (known: {names})")
        return factory(*args, **options)

    def list_names(self, kind: str) -> list[str]:
        """Return the names registered for ``kind``, sorted."""
        return sorted(
            name for other_kind, name in self._factories if other_kind == kind
        )


PLUGINS = Registry()
"""Registry of this process."""


def load_plugins(group: str = ENTRY_POINT_GROUP) -> None:
    """Import the installed plug-in modules of a group, which register themselves."""
    for entry_point in entry_points(group=group):
        entry_point.load()
