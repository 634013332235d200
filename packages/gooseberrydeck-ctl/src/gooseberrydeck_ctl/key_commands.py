"""gooseberryctl key: grant, list and withdraw."""

import secrets
from typing import Annotated

import msgspec
import typer

from gooseberrydeck_configuration import generate_key
from gooseberrydeck_configuration.api import KeyResponse, KeysResponse
from gooseberrydeck_coordination.ids import KeyId, TeamName
from gooseberrydeck_ctl.configuration_commands import print_published
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
    """Make a key of a team and show its secret once; only its hash is sent."""
    name = id or f"{team[:50]}-{secrets.token_hex(4)}"
    granted = generate_key(TeamName(team), KeyId(name))
    answer = make_client().call(
        "POST",
        "/v1/keys",
        KeyResponse,
        msgspec.json.encode(granted.key),
        publication=secrets.token_hex(16),
    )
    if json:
        print_json({"id": name, "secret": granted.secret, "published": answer})
        return
    typer.echo(f"key {name} of team {team}; its secret is shown this once:")
    typer.echo(granted.secret)
    print_published(answer.published, False)


@application.command(name="list")
def list_keys(
    team: Annotated[str | None, typer.Option(help="Only this team's.")] = None,
    json: JsonOption = False,
) -> None:
    """List the keys in force; secrets are kept nowhere."""
    answer = make_client().get("/v1/keys", KeysResponse)
    keys = tuple(key for key in answer.keys if team in (None, key.team))
    show(keys, json)


@application.command()
def withdraw(id: str, json: JsonOption = False) -> None:
    """Withdraw a key; the answer tells which members refuse it by now."""
    answer = make_client().call(
        "DELETE", f"/v1/keys/{id}", KeyResponse, publication=secrets.token_hex(16)
    )
    print_published(answer.published, json)
