#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They are Python and need no step of their own, so
# this only compiles them and checks that the libraries of the deploy file's build are there.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps"
python3 -m compileall -q review
python3 -c "import review.standins"
