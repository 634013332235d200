"""Options and environment variables shared by all commands."""

import os
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import typer

from gooseberrydeck_ctl.client import Client
from gooseberrydeck_ctl.exceptions import UsageError

__all__ = ["ADDRESSES_VARIABLE", "KEY_VARIABLE", "JsonOption", "make_client"]

ADDRESSES_VARIABLE = "GOOSEBERRYCTL_ADDRESSES"
KEY_VARIABLE = "GOOSEBERRYCTL_KEY"
KEY_FILE_VARIABLE = "GOOSEBERRYCTL_KEY_FILE"

JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
ClientFactory = Callable[[], Any]


def make_client() -> Client:
    """Return a client configured from environment variables.

    Raise ``UsageError`` if the addresses or the key are missing or malformed.
    """
    addresses = os.environ.get(ADDRESSES_VARIABLE, "").replace(",", " ").split()
    if not addresses:
        raise UsageError(f"set {ADDRESSES_VARIABLE} to ADDRESS:PORT, or several")
    key = os.environ.get(KEY_VARIABLE, "")
    file = os.environ.get(KEY_FILE_VARIABLE)
    if not key and file:
        try:
            key = Path(file).read_text().strip()
        except (OSError, UnicodeDecodeError) as error:
            raise UsageError(f"the key file cannot be read: {error}") from error
    if not key:
        raise UsageError(f"set {KEY_VARIABLE} or {KEY_FILE_VARIABLE}")
    if not (key.isascii() and key.isprintable()):
        raise UsageError("the key has characters that no key has")
    return Client(addresses, key)
