"""Run a member from a checkout, with the workspace packages on the import path."""

import json
import sys
import sysconfig
from datetime import UTC, datetime
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCES = [
    ROOT / "platform" / "src",
    *sorted((ROOT / "packages").glob("*/src")),
]
OWN_PACKAGES = "gooseberrydeck"

sys.path[:0] = [str(path) for path in SOURCES]


def report_unusable_libraries(error: ImportError) -> None:
    """Log why the libraries can't be imported; the logging library is one of them."""
    fields = {
        "reason": f"{type(error).__name__}: {error}",
        "python": sysconfig.get_config_var("SOABI"),
        "hint": "run the build command of deploy/system.toml on this machine",
        "event": "libraries not usable",
        "level": "error",
        "timestamp": datetime.now(UTC).isoformat(),
    }
    sys.stdout.write(json.dumps(fields) + "\n")


try:
    from gooseberrydeck_member.__main__ import main
except ImportError as import_error:
    if (import_error.name or "").startswith(OWN_PACKAGES):
        raise
    report_unusable_libraries(import_error)
    sys.exit(1)

if __name__ == "__main__":
    sys.exit(main())
