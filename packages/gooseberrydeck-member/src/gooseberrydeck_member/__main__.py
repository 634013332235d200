"""The ``gooseberrydeck-member`` command, which runs a member or checks its settings."""

import os
import sys
from pathlib import Path

from gooseberrydeck_adapter import load_settings
from gooseberrydeck_fleet.settings import SettingsError
from gooseberrydeck_member.allocator import return_freed_memory
from gooseberrydeck_member.composition import Member
from gooseberrydeck_member.observability import configure_logs

__all__ = ["main"]

SETTINGS_VARIABLE = "GOOSEBERRYDECK_CONFIG"
DEFAULT_SETTINGS = "/etc/gooseberrydeck/boot.yaml"
EXIT_INVALID_USAGE = 2
USAGE = "usage: gooseberrydeck-member [--check] [--settings PATH]"


def main(arguments: list[str] | None = None) -> int:
    """Run a member until stopped, or check its settings; return the exit status.

    Arguments are parsed without a library, which would double the startup time.
    """
    remaining = list(sys.argv[1:] if arguments is None else arguments)
    path = Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS))
    is_check = "--check" in remaining
    if is_check:
        remaining.remove("--check")
    if len(remaining) == 2 and remaining[0] == "--settings":
        path = Path(remaining[1])
    elif remaining:
        sys.stderr.write(USAGE + "\n")
        return EXIT_INVALID_USAGE
    try:
        settings = load_settings(path)
    except SettingsError as error:
        sys.stderr.write(f"settings: {error}\n")
        return EXIT_INVALID_USAGE
    if is_check:
        sys.stdout.write(f"{path}: settings of {settings.name} are valid\n")
        return 0
    configure_logs(settings.name)
    return_freed_memory()
    Member(path, settings).run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
