import pytest

from gooseberrydeck_configuration import (
    Authenticator,
    Configuration,
    ConfigurationStaleError,
    DifferenceKind,
    Key,
    KeyAlreadyExistsError,
    KeyMissingError,
    KeyNotFoundError,
    KeyTable,
    KeyUnknownError,
    Limit,
    Team,
    differences,
    generate_key,
    grant_key,
    hash_secret,
    withdraw_key,
)
from gooseberrydeck_coordination.ids import KeyId, TeamName

RADIO = TeamName("radio")
FIRST = KeyId("radio-1")


class TestGrant:
    def test_only_the_hash_is_stored(self) -> None:
        generated = generate_key(RADIO, FIRST)
        changed = grant_key(Configuration(), generated.key)
        assert changed.keys == (Key(FIRST, RADIO, hash_secret(generated.secret)),)
        assert generated.secret not in str(changed)
        assert len(generated.secret) > 40

    def test_granting_is_idempotent_and_ids_are_unique(self) -> None:
        generated = generate_key(RADIO, FIRST)
        changed = grant_key(Configuration(), generated.key)
        assert grant_key(changed, generated.key) is changed
        with pytest.raises(KeyAlreadyExistsError):
            grant_key(changed, generate_key(RADIO, FIRST).key)

    def test_withdrawing_an_unknown_key_is_an_error(self) -> None:
        with pytest.raises(KeyNotFoundError):
            withdraw_key(Configuration(), FIRST)


def make_authenticator(
    configuration: Configuration, is_fresh: bool = True
) -> Authenticator:
    return Authenticator(lambda: is_fresh, lambda: KeyTable(configuration))


class TestAuthenticator:
    def test_key_works_until_withdrawn(self) -> None:
        generated = generate_key(RADIO, FIRST)
        changed = grant_key(Configuration(), generated.key)
        assert (
            make_authenticator(changed).authenticate(generated.secret) == generated.key
        )
        withdrawn = make_authenticator(withdraw_key(changed, FIRST))
        with pytest.raises(KeyUnknownError):
            withdrawn.authenticate(generated.secret)

    def test_stale_member_rejects_every_key(self) -> None:
        generated = generate_key(RADIO, FIRST)
        stale = make_authenticator(grant_key(Configuration(), generated.key), False)
        for secret in (generated.secret, "other"):
            with pytest.raises(ConfigurationStaleError):
                stale.authenticate(secret)

    @pytest.mark.parametrize("secret", ["x", "x" * 100_000, "\udcff", "é"])
    def test_unknown_secret_is_rejected(self, secret: str) -> None:
        with pytest.raises(KeyUnknownError):
            make_authenticator(Configuration()).authenticate(secret)

    @pytest.mark.parametrize("secret", [None, ""])
    def test_missing_secret_is_rejected(self, secret: str | None) -> None:
        with pytest.raises(KeyMissingError):
            make_authenticator(Configuration()).authenticate(secret)


class TestDifferences:
    def test_added_removed_and_changed_objects_are_reported(self) -> None:
        before = Configuration(
            teams=(Team(RADIO), Team(TeamName("print"))), limits=(Limit(RADIO, 1),)
        )
        after = Configuration(
            teams=(Team(RADIO), Team(TeamName("online"))), limits=(Limit(RADIO, 2),)
        )
        found = differences(before, after)
        assert [(d.kind, d.section, d.name) for d in found] == [
            (DifferenceKind.ADDED, "teams", "online"),
            (DifferenceKind.REMOVED, "teams", "print"),
            (DifferenceKind.CHANGED, "limits", "radio"),
        ]
        assert str(found[2]) == "changed limits/radio (max_running: 1 -> 2)"
        assert differences(before, before) == ()
