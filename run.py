"""Start a controller: `python3 run.py --config FILE` is `coursefold serve --config FILE`.

A file `deploy/cells.toml` beside it, if there is one, says which other cells work may go to;
`deploy/shares.toml` says how many machines each controller is to own.
"""

import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from coursefold.cli import CELLS_VARIABLE, SHARES_VARIABLE, main  # noqa: E402 (needs the path)

FILES = {CELLS_VARIABLE: "cells.toml", SHARES_VARIABLE: "shares.toml"}

if __name__ == "__main__":
    for variable, name in FILES.items():
        file = ROOT / "deploy" / name
        if file.exists():
            os.environ.setdefault(variable, str(file))
    main(["serve", *sys.argv[1:]])
