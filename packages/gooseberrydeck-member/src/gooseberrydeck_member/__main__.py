"""Start a member: ``gooseberrydeck-member``."""

import os
import sys
from pathlib import Path

from gooseberrydeck_adapter import load_settings
from gooseberrydeck_fleet.settings import SettingsError
from gooseberrydeck_member.composition import Member
from gooseberrydeck_member.observability import configure_logs

__all__ = ["main"]

SETTINGS_VARIABLE = "GOOSEBERRYDECK_CONFIG"
EXIT_SETTINGS = 2


def main() -> int:
    """Run until stopped; return the exit status."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, "/etc/gooseberrydeck/boot.yaml"))
    try:
        settings = load_settings(path)
    except SettingsError as error:
        sys.stderr.write(f"settings: {error}\n")
        return EXIT_SETTINGS
    configure_logs(settings.name)
    Member(path, settings).run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
