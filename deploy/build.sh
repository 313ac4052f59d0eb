#!/bin/sh
# Installs the node and its libraries under target/deps.
set -eu
deps=target/deps
if [ ! -e target/.installed ] || [ deploy/requirements.txt -nt target/.installed ]; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check --target "$deps" -r deploy/requirements.txt
    touch target/.installed
fi
# A build folder left over from an older tree may hold stale modules.
rm -rf packages/*/build platform/build
PYTHONPATH="$PWD/$deps" python3 -m pip install -q --disable-pip-version-check --no-deps \
    --no-build-isolation --upgrade --target "$deps" \
    ./packages/kernel ./packages/policies ./packages/node ./platform
