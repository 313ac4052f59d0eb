"""Run a sidecar: ``python -m cassiahatch_node.mesh SETTINGS``."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

# SIGHUP kills a process that has no handler for it, so it is ignored during startup.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import uvloop  # noqa: E402

from cassiahatch_node.mesh.root import Sidecar  # noqa: E402
from cassiahatch_node.mesh.settings import (  # noqa: E402
    MeshSettings,
    load_mesh_settings,
)
from cassiahatch_node.settings import SettingsError  # noqa: E402

EXIT_BAD_SETTINGS = 2


async def _serve(settings: MeshSettings, path: Path) -> None:
    async with Sidecar(settings) as sidecar:
        await sidecar.run(path)


def main(path: Path) -> None:
    """Run a sidecar with the settings in the file at ``path``."""
    try:
        settings = load_mesh_settings(path)
    except SettingsError as error:
        print(f"error {error.code}: {error.detail}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    uvloop.run(_serve(settings, path))


if __name__ == "__main__":
    main(Path(sys.argv[1]))
