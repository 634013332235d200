"""Commands about evacuations of data centres, on the users' platform."""

from typing import Annotated

import msgspec
import typer

from gooseberrydeck_adapter import HttpStore
from gooseberrydeck_adapter.discovery import EVACUATION_PREFIX
from gooseberrydeck_coordination.exceptions import StoreError
from gooseberrydeck_ctl.exceptions import UnreachableError, UsageError
from gooseberrydeck_ctl.options import JsonOption
from gooseberrydeck_ctl.output import show
from gooseberrydeck_platform.http import HttpAddress

__all__ = ["STORE_VARIABLE", "application"]

STORE_VARIABLE = "GOOSEBERRYCTL_STORE"

READ_TIMEOUT_S = 5.0
"""Time limit of one read; the store responds within a few hundred milliseconds."""

application = typer.Typer(
    no_args_is_help=True, help="Look at requested evacuations of data centres."
)


@application.callback()
def commands() -> None:
    """Look at requested evacuations of data centres."""


class RequestedEvacuation(msgspec.Struct, frozen=True):
    """A requested evacuation, and the store's revision of the request."""

    data_centre: str
    revision: int


@application.command(name="list")
def list_evacuations(
    store: Annotated[
        str, typer.Option(envvar=STORE_VARIABLE, help="The store's ADDRESS:PORT.")
    ],
    json: JsonOption = False,
) -> None:
    """List the data centres whose evacuation is requested."""
    try:
        client = HttpStore(HttpAddress.parse(store))
    except ValueError as error:
        raise UsageError(f"the store's address: {error}") from error
    try:
        snapshot = client.read_prefix(EVACUATION_PREFIX, READ_TIMEOUT_S)
    except StoreError as error:
        raise UnreachableError(f"the store cannot be read: {error}") from error
    finally:
        client.close()
    found = tuple(
        RequestedEvacuation(
            entry.key.removeprefix(EVACUATION_PREFIX), entry.mod_revision
        )
        for entry in snapshot.entries
    )
    show(found, json)
