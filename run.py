"""Start a controller: `python3 run.py --config FILE` is `coursefold serve --config FILE`."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from coursefold.cli import main  # noqa: E402 (the path above comes first)

if __name__ == "__main__":
    main(["serve", *sys.argv[1:]])
