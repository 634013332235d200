"""The ``gooseberryctl key`` commands."""

import secrets
from typing import Annotated

import msgspec
import typer

from gooseberrydeck_configuration import generate_key
from gooseberrydeck_configuration.api import KeyResponse, KeysResponse
from gooseberrydeck_coordination.ids import KeyId, TeamName
from gooseberrydeck_ctl.configuration_commands import print_publication
from gooseberrydeck_ctl.options import JsonOption, make_client
from gooseberrydeck_ctl.output import print_json, show

__all__ = ["application"]

application = typer.Typer(no_args_is_help=True, help="Grant and withdraw teams' keys.")


@application.command()
def grant(
    team: str,
    id: Annotated[str | None, typer.Option(help="The key's id.")] = None,
    json: JsonOption = False,
) -> None:
    """Generate a key for a team and print its secret; only the hash is sent."""
    name = id or f"{team[:50]}-{secrets.token_hex(4)}"
    generated = generate_key(TeamName(team), KeyId(name))
    response = make_client().call(
        "POST",
        "/v1/keys",
        KeyResponse,
        msgspec.json.encode(generated.key),
        publication=secrets.token_hex(16),
    )
    if json:
        print_json({"id": name, "secret": generated.secret, "published": response})
        return
    typer.echo(f"key {name} of team {team}; its secret is shown this once:")
    typer.echo(generated.secret)
    print_publication(response.published, False)


@application.command(name="list")
def list_keys(
    team: Annotated[str | None, typer.Option(help="Only this team's.")] = None,
    json: JsonOption = False,
) -> None:
    """List the current keys, without their secrets, which are not stored."""
    response = make_client().get("/v1/keys", KeysResponse)
    keys = tuple(key for key in response.keys if team in (None, key.team))
    show(keys, json)


@application.command()
def withdraw(id: str, json: JsonOption = False) -> None:
    """Withdraw a key and print which members have stopped accepting it."""
    response = make_client().call(
        "DELETE", f"/v1/keys/{id}", KeyResponse, publication=secrets.token_hex(16)
    )
    print_publication(response.published, json)
