#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. They are Python and need only the libraries that the
# build of the deploy file has put under target/deps, so this checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -c "import review.second.case"
