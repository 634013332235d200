"""Run a member from a checkout, with the workspace packages on the import path."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCES = [
    ROOT / "platform" / "src",
    *sorted((ROOT / "packages").glob("*/src")),
]

sys.path[:0] = [str(path) for path in SOURCES]

from gooseberrydeck_member.__main__ import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
