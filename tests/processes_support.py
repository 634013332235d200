"""Configuration that the process tests publish."""

import hashlib

from gooseberrydeck_configuration.objects import (
    Configuration,
    Key,
    Limit,
    Service,
    Share,
    Team,
)
from gooseberrydeck_coordination.ids import KeyId, ServiceName, TeamName

SECRET = "editors-secret"
EDITORS = TeamName("editors")
SERVICE = ServiceName("lookups")
HEADERS = {"Authorization": f"Bearer {SECRET}", "Content-Type": "application/json"}
PATH = f"/v1/services/{SERVICE}"

CONFIGURATION = Configuration(
    teams=(Team(EDITORS),),
    keys=(Key(KeyId("k1"), EDITORS, hashlib.sha256(SECRET.encode()).hexdigest()),),
    shares=(Share(EDITORS, 1.0),),
    limits=(Limit(EDITORS, 8),),
    services=(Service(SERVICE, teams=(EDITORS,), timeout_ms=3_000),),
)
