#!/usr/bin/env bash
# Runs the case; exit code 1: the rule was broken, 0: it held, 2: not run. TROUBLE=0: no trouble.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
export PYTHONPATH="$PWD/target/deps:$PWD"
exec python3 -m "review.$(basename "$here").case"
