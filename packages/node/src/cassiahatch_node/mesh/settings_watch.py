"""Reloading of the settings file when it has changed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.settings import MeshSettings, load_mesh_settings
from cassiahatch_node.settings import SettingsError

CHECK_INTERVAL_S = 1.0
"""Interval at which the file is checked, because it may change without a signal."""


class SettingsWatch:
    """Reloads the settings on SIGHUP, and when the file has another mtime or size.

    Parameters
    ----------
    path : Path
        The settings file.
    settings : MeshSettings
        The settings in force.
    reload : callable
        Applies the reloaded settings.
    """

    __slots__ = (
        "_journal",
        "_mtime_and_size",
        "_path",
        "_reload",
        "_settings",
        "_signal",
    )

    def __init__(
        self,
        path: Path,
        settings: MeshSettings,
        reload: Callable[[MeshSettings], None],
        journal: Journal,
    ) -> None:
        self._path = path
        self._settings = settings
        self._reload = reload
        self._journal = journal
        self._signal = asyncio.Event()
        self._mtime_and_size = self._read_mtime_and_size()

    def wake(self) -> None:
        """Reload the file now; called on SIGHUP."""
        self._signal.set()

    async def run(self) -> None:
        """Watch the file until cancelled; an invalid file leaves the settings unchanged."""
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._signal.wait()
            except TimeoutError:
                mtime_and_size = self._read_mtime_and_size()
                if mtime_and_size == self._mtime_and_size:
                    continue
                self._mtime_and_size = mtime_and_size
            self._signal.clear()
            self._load()

    def _load(self) -> None:
        try:
            settings = load_mesh_settings(self._path)
        except SettingsError as error:
            self._journal.note("settings_kept", error=error.detail)
            return
        is_changed = settings != self._settings
        needs_restart = (settings.node, settings.plugins) != (
            self._settings.node,
            self._settings.plugins,
        )
        self._settings = settings
        self._reload(settings)
        self._journal.note(
            "settings_reloaded", changed=is_changed, needs_restart=needs_restart
        )

    def _read_mtime_and_size(self) -> tuple[int, int]:
        try:
            found = self._path.stat()
        except OSError as error:
            self._journal.trace("settings_not_found", error=str(error))
            return 0, 0
        return found.st_mtime_ns, found.st_size
