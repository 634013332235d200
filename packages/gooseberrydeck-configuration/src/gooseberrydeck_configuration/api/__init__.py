"""The operators' HTTP interface as typed messages.

The operators' listener answers with them and the command line reads them.
"""

from gooseberrydeck_configuration.api.publications import (
    CheckAnswer,
    DifferenceAnswer,
    HistoryAnswer,
    KeyAnswer,
    KeysAnswer,
    PublishedAnswer,
    VersionAnswer,
    VersionHeader,
)
from gooseberrydeck_configuration.api.reports import (
    BurnAnswer,
    BurnPoint,
    BurnWindow,
    Culprit,
    PackingAnswer,
    ServiceBurn,
    ShareAnswer,
    TeamShare,
)
from gooseberrydeck_configuration.api.views import (
    DrainAnswer,
    JobAnswer,
    JobsAnswer,
    MembersAnswer,
    MemberView,
    ShardsAnswer,
    ShardView,
    WaitReason,
    WorkersAnswer,
    WorkerView,
)

__all__ = [
    "BurnAnswer",
    "BurnPoint",
    "BurnWindow",
    "CheckAnswer",
    "Culprit",
    "DifferenceAnswer",
    "DrainAnswer",
    "HistoryAnswer",
    "JobAnswer",
    "JobsAnswer",
    "KeyAnswer",
    "KeysAnswer",
    "MemberView",
    "MembersAnswer",
    "PackingAnswer",
    "PublishedAnswer",
    "ServiceBurn",
    "ShareAnswer",
    "ShardView",
    "ShardsAnswer",
    "TeamShare",
    "VersionAnswer",
    "VersionHeader",
    "WaitReason",
    "WorkerView",
    "WorkersAnswer",
]
