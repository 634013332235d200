"""Configuration objects that operators publish, with validation and API messages."""

from gooseberrydeck_configuration.checks import (
    CellCapacity,
    Level,
    Problem,
    has_errors,
    run_checks,
)
from gooseberrydeck_configuration.differences import (
    Difference,
    DifferenceKind,
    FieldChange,
    differences,
)
from gooseberrydeck_configuration.exceptions import (
    AuthenticationError,
    ConfigurationError,
    ConfigurationInvalidError,
    ConfigurationStaleError,
    KeyAlreadyExistsError,
    KeyMissingError,
    KeyNotFoundError,
    KeyUnknownError,
)
from gooseberrydeck_configuration.files import decode_configuration, load_configuration
from gooseberrydeck_configuration.keys import (
    Authenticator,
    GeneratedKey,
    KeyTable,
    generate_key,
    grant_key,
    hash_secret,
    withdraw_key,
)
from gooseberrydeck_configuration.objects import (
    Configuration,
    Key,
    Limit,
    Queue,
    QueuePolicy,
    Service,
    Share,
    Team,
)

__all__ = [
    "AuthenticationError",
    "Authenticator",
    "CellCapacity",
    "Configuration",
    "ConfigurationError",
    "ConfigurationInvalidError",
    "ConfigurationStaleError",
    "Difference",
    "DifferenceKind",
    "FieldChange",
    "GeneratedKey",
    "Key",
    "KeyAlreadyExistsError",
    "KeyMissingError",
    "KeyNotFoundError",
    "KeyTable",
    "KeyUnknownError",
    "Level",
    "Limit",
    "Problem",
    "Queue",
    "QueuePolicy",
    "Service",
    "Share",
    "Team",
    "decode_configuration",
    "differences",
    "generate_key",
    "grant_key",
    "has_errors",
    "hash_secret",
    "load_configuration",
    "run_checks",
    "withdraw_key",
]
