"""Run a sidecar: ``python -m cassiahatch_node.mesh SETTINGS``."""

from __future__ import annotations

import sys
from pathlib import Path

from cassiahatch_node.mesh.process_signals import ProcessSignals

# A signal without a handler kills the process, also during the imports that follow.
_signals = ProcessSignals() if __name__ == "__main__" else None

import uvloop  # noqa: E402

from cassiahatch_node.mesh.root import Sidecar  # noqa: E402
from cassiahatch_node.mesh.settings import (  # noqa: E402
    MeshSettings,
    load_mesh_settings,
)
from cassiahatch_node.settings import SettingsError  # noqa: E402

EXIT_BAD_SETTINGS = 2


async def _serve(settings: MeshSettings, path: Path, signals: ProcessSignals) -> None:
    if signals.told_to_stop_at is not None:
        return
    async with Sidecar(settings) as sidecar:
        await sidecar.run(path, signals)


def main(path: Path, signals: ProcessSignals) -> None:
    """Run a sidecar with the settings in the file at ``path``."""
    try:
        settings = load_mesh_settings(path)
    except SettingsError as error:
        print(f"error {error.code}: {error.detail}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    uvloop.run(_serve(settings, path, signals))
    signals.ignore()


if __name__ == "__main__":
    main(Path(sys.argv[1]), _signals)
