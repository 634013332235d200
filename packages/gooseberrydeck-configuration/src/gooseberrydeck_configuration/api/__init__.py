"""Typed messages of the operators' HTTP API.

Members encode these structures as response bodies and gooseberryctl decodes them.
"""

from gooseberrydeck_configuration.api.publications import (
    CheckResponse,
    DifferenceResponse,
    HistoryResponse,
    KeyResponse,
    KeysResponse,
    PublicationResponse,
    VersionHeader,
    VersionResponse,
)
from gooseberrydeck_configuration.api.reports import (
    BurnPoint,
    BurnResponse,
    BurnWindow,
    PackingResponse,
    ServiceBurn,
    ShareResponse,
    TeamBudgetUse,
    TeamShare,
)
from gooseberrydeck_configuration.api.views import (
    DrainResponse,
    JobResponse,
    JobsResponse,
    MembersResponse,
    MemberView,
    ShardsResponse,
    ShardView,
    WaitReason,
    WorkersResponse,
    WorkerView,
)

__all__ = [
    "BurnPoint",
    "BurnResponse",
    "BurnWindow",
    "CheckResponse",
    "DifferenceResponse",
    "DrainResponse",
    "HistoryResponse",
    "JobResponse",
    "JobsResponse",
    "KeyResponse",
    "KeysResponse",
    "MemberView",
    "MembersResponse",
    "PackingResponse",
    "PublicationResponse",
    "ServiceBurn",
    "ShardView",
    "ShardsResponse",
    "ShareResponse",
    "TeamBudgetUse",
    "TeamShare",
    "VersionHeader",
    "VersionResponse",
    "WaitReason",
    "WorkerView",
    "WorkersResponse",
]
