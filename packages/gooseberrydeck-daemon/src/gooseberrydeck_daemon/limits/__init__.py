"""Team limits on what runs on the shards of this member."""

from gooseberrydeck_daemon.limits.admission import TeamAdmission
from gooseberrydeck_daemon.limits.component import LimitsComponent
from gooseberrydeck_daemon.limits.messages import UnitsAnswer, UnitsRequest
from gooseberrydeck_daemon.limits.task import LimitsTask, OwnershipSource
from gooseberrydeck_daemon.limits.watch import SlicesWatch

__all__ = [
    "LimitsComponent",
    "LimitsTask",
    "OwnershipSource",
    "SlicesWatch",
    "TeamAdmission",
    "UnitsAnswer",
    "UnitsRequest",
]
