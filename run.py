"""Start a controller: `python3 run.py --config FILE` is `coursefold serve --config FILE`.

The files `deploy/cells.toml` and `deploy/shares.toml` next to it are used where they exist,
unless COURSEFOLD_CELLS or COURSEFOLD_SHARES is set. The first names the other cells that jobs may
be sent to, the second the number of machines that each controller is to own.
"""

import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from coursefold.cli import CELLS_VARIABLE, SHARES_VARIABLE, main  # noqa: E402 (needs the path set above)

DEPLOY_FILES = {CELLS_VARIABLE: "cells.toml", SHARES_VARIABLE: "shares.toml"}

if __name__ == "__main__":
    for variable, name in DEPLOY_FILES.items():
        file = ROOT / "deploy" / name
        if file.exists():
            os.environ.setdefault(variable, str(file))
    main(["serve", *sys.argv[1:]])
