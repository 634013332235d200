"""Loading of a member's settings file."""

from pathlib import Path

import msgspec

from gooseberrydeck_daemon.checks import CheckMessageError
from gooseberrydeck_daemon.checks.settings import check_settings
from gooseberrydeck_daemon.exceptions import SettingsInvalidError
from gooseberrydeck_daemon.settings import Settings

__all__ = ["load_settings"]


def load_settings(path: Path) -> Settings:
    """Return the settings in ``path``.

    Raise ``SettingsInvalidError`` with every problem if they are invalid.
    """
    problems, raw = check_settings(path)
    if problems:
        errors = [CheckMessageError(problem) for problem in problems]
        raise SettingsInvalidError(f"{path} has {len(errors)} problems", errors)
    return msgspec.convert(raw, Settings)
