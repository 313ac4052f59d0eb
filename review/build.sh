#!/bin/sh
# Builds the stand-ins, which need only the standard library. Run it after the build of
# the deploy file, which the scripts use from target/deps.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile standins/site_standins.py [1-5]/case.py
test -d ../target/deps/cassiahatch_node
