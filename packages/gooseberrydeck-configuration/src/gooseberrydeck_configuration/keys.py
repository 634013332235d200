"""Creation, withdrawal and verification of API keys."""

import hashlib
import hmac
import secrets
from collections.abc import Callable

import msgspec

from gooseberrydeck_configuration.exceptions import (
    ConfigurationStaleError,
    KeyAlreadyExistsError,
    KeyMissingError,
    KeyNotFoundError,
    KeyUnknownError,
)
from gooseberrydeck_configuration.objects import Configuration, Key
from gooseberrydeck_coordination.ids import KeyId, TeamName

__all__ = [
    "MAX_SECRET_LENGTH",
    "SECRET_BYTES",
    "Authenticator",
    "GeneratedKey",
    "KeyTable",
    "generate_key",
    "grant_key",
    "hash_secret",
    "withdraw_key",
]

SECRET_BYTES = 32
SECRET_PREFIX = "gbd_"
MAX_SECRET_LENGTH = 256


class GeneratedKey(msgspec.Struct, frozen=True):
    """A new key together with its secret, which is never stored."""

    key: Key
    secret: str


def hash_secret(secret: str) -> str:
    """Return the hexadecimal SHA-256 of a secret.

    A plain hash is sufficient: secrets have 256 random bits, so a slow password hash
    would not add protection against brute force.
    """
    return hashlib.sha256(secret.encode("utf-8", "surrogateescape")).hexdigest()


def generate_key(team: TeamName, id: KeyId) -> GeneratedKey:
    """Generate a key with a random secret.

    Only the key, which holds the hash of the secret, needs to be sent to a member.
    """
    secret = SECRET_PREFIX + secrets.token_urlsafe(SECRET_BYTES)
    return GeneratedKey(Key(id=id, team=team, sha256=hash_secret(secret)), secret)


def grant_key(configuration: Configuration, key: Key) -> Configuration:
    """Return a copy of the configuration that includes the key.

    The operation is idempotent: if the same key is already present, the configuration
    is returned unchanged. Raise ``KeyAlreadyExistsError`` if the id belongs to a
    different key.
    """
    for existing in configuration.keys:
        if existing == key:
            return configuration
        if existing.id == key.id:
            raise KeyAlreadyExistsError(f"there is another key {key.id!r} already")
    return msgspec.structs.replace(configuration, keys=(*configuration.keys, key))


def withdraw_key(configuration: Configuration, id: KeyId) -> Configuration:
    """Return a copy of the configuration without the key.

    Raise ``KeyNotFoundError`` if there is no key with this id.
    """
    remaining = tuple(key for key in configuration.keys if key.id != id)
    if len(remaining) == len(configuration.keys):
        raise KeyNotFoundError(f"there is no key {id!r}")
    return msgspec.structs.replace(configuration, keys=remaining)


class KeyTable:
    """Index of the keys of one configuration by the hash of their secrets."""

    def __init__(self, configuration: Configuration) -> None:
        """Build the index from the keys of the configuration."""
        self.key_by_hash = {key.sha256: key for key in configuration.keys}

    def find(self, secret: str) -> Key:
        """Return the key with this secret, or raise ``KeyUnknownError``.

        Secrets are looked up by their hash and the hashes are compared in constant
        time, so response times reveal nothing about a valid secret.
        """
        if len(secret) > MAX_SECRET_LENGTH:
            raise KeyUnknownError("the key is not known")
        digest = hash_secret(secret)
        key = self.key_by_hash.get(digest)
        if key is None or not hmac.compare_digest(key.sha256, digest):
            raise KeyUnknownError("the key is not known")
        return key


class Authenticator:
    """Authenticate requests against the keys of the member's newest configuration.

    Keys are accepted only while ``is_fresh`` returns True. A member that cannot verify
    that its configuration is the newest rejects every key, because the key may have
    been withdrawn. This class is thread-safe.
    """

    def __init__(
        self, is_fresh: Callable[[], bool], get_table: Callable[[], KeyTable]
    ) -> None:
        """Create an authenticator.

        ``get_table`` returns the keys of the member's newest configuration.
        """
        self.is_fresh = is_fresh
        self.get_table = get_table

    def authenticate(self, secret: str | None) -> Key:
        """Return the key with this secret, or raise an ``AuthenticationError``.

        Freshness is checked before the lookup, so that a stale member does not report
        a recently granted key as unknown.
        """
        if not secret:
            raise KeyMissingError("the request has no key")
        if not self.is_fresh():
            raise ConfigurationStaleError(
                "this member cannot tell whether its configuration is the newest"
            )
        return self.get_table().find(secret)
