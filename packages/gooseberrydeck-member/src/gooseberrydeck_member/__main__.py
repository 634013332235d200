"""Start a member, or check its settings: ``gooseberrydeck-member``."""

import os
import sys
from pathlib import Path

from gooseberrydeck_adapter import load_settings
from gooseberrydeck_fleet.settings import SettingsError
from gooseberrydeck_member.composition import Member
from gooseberrydeck_member.observability import configure_logs

__all__ = ["main"]

SETTINGS_VARIABLE = "GOOSEBERRYDECK_CONFIG"
DEFAULT_SETTINGS = "/etc/gooseberrydeck/boot.yaml"
EXIT_SETTINGS = 2
USAGE = "usage: gooseberrydeck-member [--check] [--settings PATH]"


def main(arguments: list[str] | None = None) -> int:
    """Run until stopped, or only check the settings; return the exit status.

    The arguments are read by hand: a library for it would double the time to start.
    """
    words = list(sys.argv[1:] if arguments is None else arguments)
    path = Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS))
    is_check = "--check" in words
    if is_check:
        words.remove("--check")
    if len(words) == 2 and words[0] == "--settings":
        path = Path(words[1])
    elif words:
        sys.stderr.write(USAGE + "\n")
        return EXIT_SETTINGS
    try:
        settings = load_settings(path)
    except SettingsError as error:
        sys.stderr.write(f"settings: {error}\n")
        return EXIT_SETTINGS
    if is_check:
        sys.stdout.write(f"{path}: settings of {settings.name} are valid\n")
        return 0
    configure_logs(settings.name)
    Member(path, settings).run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
