"""Start a controller: `python3 run.py --config FILE` is `coursefold serve --config FILE`.

A file `deploy/cells.toml` beside it, if there is one, says which other cells work may go to.
"""

import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from coursefold.cli import CELLS_VARIABLE, main  # noqa: E402 (the path above comes first)

CELLS = ROOT / "deploy" / "cells.toml"

if __name__ == "__main__":
    if CELLS.exists():
        os.environ.setdefault(CELLS_VARIABLE, str(CELLS))
    main(["serve", *sys.argv[1:]])
