"""Keeping the newest configuration in force on this member."""

from gooseberrydeck_daemon.controllers.configuration.freshness import (
    FreshnessRule,
    StoreFreshness,
)
from gooseberrydeck_daemon.controllers.configuration.messages import (
    AwaitConfiguration,
    ConfigurationContent,
    ConfigurationHeld,
    ConfigurationMessage,
    FetchConfiguration,
    FetchFailed,
    NumberRead,
    PeerAwaits,
    RecordFound,
)
from gooseberrydeck_daemon.controllers.configuration.reader import (
    ConfigurationConfirmation,
    ConfigurationWatch,
)
from gooseberrydeck_daemon.controllers.configuration.task import (
    ConfigurationSink,
    ConfigurationTask,
    decode_configuration_record,
)

__all__ = [
    "AwaitConfiguration",
    "ConfigurationConfirmation",
    "ConfigurationContent",
    "ConfigurationHeld",
    "ConfigurationMessage",
    "ConfigurationSink",
    "ConfigurationTask",
    "ConfigurationWatch",
    "FetchConfiguration",
    "FetchFailed",
    "FreshnessRule",
    "NumberRead",
    "PeerAwaits",
    "RecordFound",
    "StoreFreshness",
    "decode_configuration_record",
]
