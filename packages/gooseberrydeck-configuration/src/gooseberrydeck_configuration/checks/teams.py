"""Checks of teams, keys, shares and limits."""

import math
import re
from collections.abc import Iterator

from gooseberrydeck_configuration.checks.messages import Problem
from gooseberrydeck_configuration.checks.names import (
    find_duplicates,
    find_invalid_names,
    find_unknown_teams,
)
from gooseberrydeck_configuration.checks.registry import CheckContext, registry
from gooseberrydeck_configuration.objects import Configuration

__all__ = ["SHARES_TOLERANCE", "SHARES_TOTAL"]

SHARES_TOTAL = 1.0
SHARES_TOLERANCE = 1e-6
SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")

NAME_HINT = "use at most 63 lower-case letters, digits and inner hyphens"
TEAM_HINT = "add the team or correct the name"

TEAM_DUPLICATE = registry.define(
    "teams.E001", "Two teams have one name.", "rename or remove one of them"
)
TEAM_NAME_INVALID = registry.define(
    "teams.E002", "A team's name is not valid.", NAME_HINT
)
TEAM_WITHOUT_LIMIT = registry.define(
    "teams.E003", "A team has no limit.", "add an object to limits"
)
TEAM_WITHOUT_SHARE = registry.define(
    "teams.E004", "A team has no share.", "add an object to shares"
)
NO_TEAMS = registry.define("teams.W001", "There are no teams.", "add a team")
TEAM_WITHOUT_KEY = registry.define(
    "teams.W002",
    "A team has no key and no open queue or service.",
    "grant it one with gooseberryctl key grant",
)

KEY_DUPLICATE = registry.define(
    "keys.E001", "Two keys have one id.", "rename or remove one of them"
)
KEY_ID_INVALID = registry.define("keys.E002", "A key's id is not valid.", NAME_HINT)
KEY_TEAM_UNKNOWN = registry.define(
    "keys.E003", "A key belongs to a team that does not exist.", TEAM_HINT
)
KEY_HASH_INVALID = registry.define(
    "keys.E004",
    "A key's hash is not a SHA-256 in lower-case hexadecimal.",
    "never store the secret itself; use gooseberryctl key grant",
)
KEY_HASH_DUPLICATE = registry.define(
    "keys.E005", "Two keys have one hash.", "grant a new key in place of one of them"
)

SHARE_DUPLICATE = registry.define(
    "shares.E001", "A team has two shares.", "remove one of them"
)
SHARE_TEAM_UNKNOWN = registry.define(
    "shares.E002", "A share is for a team that does not exist.", TEAM_HINT
)
SHARE_WEIGHT = registry.define(
    "shares.E003", "A share's weight is not above 0.", "give a weight above 0"
)
SHARE_SUM = registry.define(
    "shares.E004", "The shares do not add up to 1.", "change weights until they do"
)

LIMIT_DUPLICATE = registry.define(
    "limits.E001", "A team has two limits.", "remove one of them"
)
LIMIT_TEAM_UNKNOWN = registry.define(
    "limits.E002", "A limit is for a team that does not exist.", TEAM_HINT
)
LIMIT_NEGATIVE = registry.define(
    "limits.E003", "A limit is negative.", "give 0 to stop a team, or more"
)
LIMIT_ZERO = registry.define(
    "limits.W001", "A limit of 0 stops a team.", "raise it if that is not meant"
)


def team_names(configuration: Configuration) -> frozenset[str]:
    """Return the names of all teams of a configuration."""
    return frozenset(team.name for team in configuration.teams)


@registry.register
def check_teams(context: CheckContext) -> Iterator[Problem]:
    """Check team names, and that each team has a limit, a share and a means of access.

    A team has access if it has a key or if an open queue or service belongs to it.
    """
    configuration = context.configuration
    names = [team.name for team in configuration.teams]
    yield from find_duplicates(TEAM_DUPLICATE, "team", "name", names)
    yield from find_invalid_names(TEAM_NAME_INVALID, "team", "name", names)
    if not names:
        yield NO_TEAMS.make_problem("teams", "", "the configuration has no teams")
    teams_with_limit = {limit.team for limit in configuration.limits}
    teams_with_share = {share.team for share in configuration.shares}
    teams_with_access = {key.team for key in configuration.keys}
    teams_with_access |= {
        queue.open_team for queue in configuration.queues if queue.open_team
    }
    teams_with_access |= {
        service.open_team for service in configuration.services if service.open_team
    }
    for name in dict.fromkeys(names):
        label = f"team {name}"
        if name not in teams_with_limit:
            yield TEAM_WITHOUT_LIMIT.make_problem(label, "", "the team has no limit")
        if name not in teams_with_share:
            yield TEAM_WITHOUT_SHARE.make_problem(label, "", "the team has no share")
        if name not in teams_with_access:
            yield TEAM_WITHOUT_KEY.make_problem(label, "", "the team has no key")


@registry.register
def check_keys(context: CheckContext) -> Iterator[Problem]:
    """Check that keys have valid ids, existing teams and distinct hashes."""
    configuration = context.configuration
    known = team_names(configuration)
    ids = [key.id for key in configuration.keys]
    yield from find_duplicates(KEY_DUPLICATE, "key", "id", ids)
    yield from find_invalid_names(KEY_ID_INVALID, "key", "id", ids)
    id_by_hash: dict[str, str] = {}
    for key in configuration.keys:
        name = f"key {key.id}"
        yield from find_unknown_teams(KEY_TEAM_UNKNOWN, name, "team", [key.team], known)
        if not SHA256_PATTERN.fullmatch(key.sha256):
            yield KEY_HASH_INVALID.make_problem(
                name, "sha256", "the hash is not 64 lower-case hexadecimal digits"
            )
        other = id_by_hash.setdefault(key.sha256, key.id)
        if other != key.id:
            yield KEY_HASH_DUPLICATE.make_problem(
                name, "sha256", f"key {other!r} has the same hash"
            )


@registry.register
def check_shares(context: CheckContext) -> Iterator[Problem]:
    """Check that shares belong to existing teams, are positive and add up to 1."""
    shares = context.configuration.shares
    known = team_names(context.configuration)
    yield from find_duplicates(
        SHARE_DUPLICATE, "share", "team", [s.team for s in shares]
    )
    for share in shares:
        name = f"share {share.team}"
        yield from find_unknown_teams(
            SHARE_TEAM_UNKNOWN, name, "team", [share.team], known
        )
        if not (math.isfinite(share.weight) and share.weight > 0):
            yield SHARE_WEIGHT.make_problem(
                name, "weight", f"the weight {share.weight} is not above 0"
            )
    total = math.fsum(share.weight for share in shares)
    if shares and not abs(total - SHARES_TOTAL) <= SHARES_TOLERANCE:
        yield SHARE_SUM.make_problem(
            "shares", "weight", f"the weights add up to {total:.6g}, not to 1"
        )


@registry.register
def check_limits(context: CheckContext) -> Iterator[Problem]:
    """Check that limits belong to existing teams and are not negative."""
    limits = context.configuration.limits
    known = team_names(context.configuration)
    yield from find_duplicates(
        LIMIT_DUPLICATE, "limit", "team", [limit.team for limit in limits]
    )
    for limit in limits:
        name = f"limit {limit.team}"
        yield from find_unknown_teams(
            LIMIT_TEAM_UNKNOWN, name, "team", [limit.team], known
        )
        if limit.max_running < 0:
            yield LIMIT_NEGATIVE.make_problem(
                name, "max_running", f"the limit {limit.max_running} is negative"
            )
        if limit.max_running == 0:
            yield LIMIT_ZERO.make_problem(
                name, "max_running", "the team may run nothing"
            )
