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
        granted = generate_key(RADIO, FIRST)
        changed = grant_key(Configuration(), granted.key)
        assert changed.keys == (Key(FIRST, RADIO, hash_secret(granted.secret)),)
        assert granted.secret not in str(changed)
        assert len(granted.secret) > 40

    def test_id_is_granted_once(self) -> None:
        granted = generate_key(RADIO, FIRST)
        changed = grant_key(Configuration(), granted.key)
        assert grant_key(changed, granted.key) is changed
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
        granted = generate_key(RADIO, FIRST)
        changed = grant_key(Configuration(), granted.key)
        assert make_authenticator(changed).authenticate(granted.secret) == granted.key
        withdrawn = make_authenticator(withdraw_key(changed, FIRST))
        with pytest.raises(KeyUnknownError):
            withdrawn.authenticate(granted.secret)

    def test_stale_member_judges_no_key(self) -> None:
        granted = generate_key(RADIO, FIRST)
        stale = make_authenticator(grant_key(Configuration(), granted.key), False)
        for secret in (granted.secret, "other"):
            with pytest.raises(ConfigurationStaleError):
                stale.authenticate(secret)

    @pytest.mark.parametrize("secret", ["x", "x" * 100_000, "\udcff", "é"])
    def test_unknown_secret(self, secret: str) -> None:
        with pytest.raises(KeyUnknownError):
            make_authenticator(Configuration()).authenticate(secret)

    @pytest.mark.parametrize("secret", [None, ""])
    def test_missing_secret(self, secret: str | None) -> None:
        with pytest.raises(KeyMissingError):
            make_authenticator(Configuration()).authenticate(secret)


class TestDifferences:
    def test_each_kind(self) -> None:
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
