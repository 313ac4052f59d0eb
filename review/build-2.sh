#!/bin/sh
# Checks the stand-ins of the cases 6 to 10. They are scripts of the standard library
# alone, so that there is nothing to install.
set -eu
cd "$(dirname "$0")"
python3 - standins-2/*.py <<'END'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    compile(Path(name).read_text(), name, "exec")
END
