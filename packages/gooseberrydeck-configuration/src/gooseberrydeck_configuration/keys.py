"""Keys: granting them, withdrawing them and knowing their bearers."""

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
    """A new key with its secret, which is shown once and stored nowhere."""

    key: Key
    secret: str


def hash_secret(secret: str) -> str:
    """Return the SHA-256 of a secret in hexadecimal.

    A secret holds 256 random bits, so that a slow hash would add nothing.
    """
    return hashlib.sha256(secret.encode("utf-8", "surrogateescape")).hexdigest()


def generate_key(team: TeamName, id: KeyId) -> GeneratedKey:
    """Return a new key; only its hash needs to leave this process."""
    secret = SECRET_PREFIX + secrets.token_urlsafe(SECRET_BYTES)
    return GeneratedKey(Key(id=id, team=team, sha256=hash_secret(secret)), secret)


def grant_key(configuration: Configuration, key: Key) -> Configuration:
    """Return the configuration with a key; granting the same key twice is one grant.

    Raise ``KeyAlreadyExistsError`` if the id stands for another key.
    """
    for known in configuration.keys:
        if known == key:
            return configuration
        if known.id == key.id:
            raise KeyAlreadyExistsError(f"there is another key {key.id!r} already")
    return msgspec.structs.replace(configuration, keys=(*configuration.keys, key))


def withdraw_key(configuration: Configuration, id: KeyId) -> Configuration:
    """Return the configuration without a key."""
    kept = tuple(key for key in configuration.keys if key.id != id)
    if len(kept) == len(configuration.keys):
        raise KeyNotFoundError(f"there is no key {id!r}")
    return msgspec.structs.replace(configuration, keys=kept)


class KeyTable:
    """The keys of one configuration by the hash of their secrets."""

    def __init__(self, configuration: Configuration) -> None:
        """Index the keys."""
        self.by_hash = {key.sha256: key for key in configuration.keys}

    def find(self, secret: str) -> Key:
        """Return the key of a secret, or raise ``KeyUnknownError``.

        The lookup is by hash, whose timing tells nothing of a secret, and the
        last comparison takes the same time wherever the hashes differ.
        """
        if len(secret) > MAX_SECRET_LENGTH:
            raise KeyUnknownError("the key is not known")
        digest = hash_secret(secret)
        key = self.by_hash.get(digest)
        if key is None or not hmac.compare_digest(key.sha256, digest):
            raise KeyUnknownError("the key is not known")
        return key


class Authenticator:
    """Know the bearers of keys by the newest configuration of this member.

    A key is judged only while ``is_fresh`` holds: a member that cannot tell whether
    its configuration is the newest refuses keyed work, since the key may have been
    withdrawn. Any thread may ask.
    """

    def __init__(
        self, is_fresh: Callable[[], bool], table: Callable[[], KeyTable]
    ) -> None:
        """Judge by what ``table`` returns, the keys of the newest configuration."""
        self.is_fresh = is_fresh
        self.table = table

    def authenticate(self, secret: str | None) -> Key:
        """Return the key of a secret, or raise an ``AuthenticationError``.

        Freshness is judged first, so that a stale member does not call a key unknown
        that has been granted meanwhile.
        """
        if not secret:
            raise KeyMissingError("the request has no key")
        if not self.is_fresh():
            raise ConfigurationStaleError(
                "this member cannot tell whether its configuration is the newest"
            )
        return self.table().find(secret)
