"""Controller that keeps this member's configuration up to date."""

from gooseberrydeck_daemon.controllers.configuration.freshness import (
    FreshnessRule,
    StoreFreshness,
)
from gooseberrydeck_daemon.controllers.configuration.messages import (
    AwaitConfiguration,
    ConfigurationAwaited,
    ConfigurationContent,
    ConfigurationHeld,
    ConfigurationMessage,
    FetchConfiguration,
    FetchFailed,
    NumberRead,
    RecordFound,
    RecordUnreadable,
)
from gooseberrydeck_daemon.controllers.configuration.reader import (
    ConfigurationPoller,
    ConfigurationWatch,
)
from gooseberrydeck_daemon.controllers.configuration.task import (
    ConfigurationSink,
    ConfigurationTask,
    decode_configuration_record,
)

__all__ = [
    "AwaitConfiguration",
    "ConfigurationPoller",
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
    "ConfigurationAwaited",
    "RecordFound",
    "RecordUnreadable",
    "StoreFreshness",
    "decode_configuration_record",
]
