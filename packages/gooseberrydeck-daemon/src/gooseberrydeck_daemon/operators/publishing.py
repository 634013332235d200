"""Checking and publishing of configurations for operators."""

import time
from collections.abc import Callable, Sequence
from concurrent.futures import FIRST_COMPLETED, Future, wait
from typing import Any

import msgspec

from gooseberrydeck_configuration import (
    Configuration,
    Problem,
    differences,
    has_errors,
    run_checks,
)
from gooseberrydeck_configuration.api import (
    CheckResponse,
    PublicationResponse,
    VersionHeader,
)
from gooseberrydeck_configuration.checks import CellCapacity
from gooseberrydeck_configuration.exceptions import (
    ConfigurationError,
    ConfigurationInvalidError,
)
from gooseberrydeck_coordination.exceptions import StoreError
from gooseberrydeck_coordination.ids import ConfigurationNumber, MemberId
from gooseberrydeck_coordination.roster import is_majority
from gooseberrydeck_coordination.versioned import (
    NO_VERSION,
    Publication,
    PublicationConflictError,
    PublicationId,
    Publisher,
    VersionedHolder,
    VersionedRecord,
    VersionNumber,
)
from gooseberrydeck_daemon.controllers.configuration import (
    AwaitConfiguration,
    ConfigurationHeld,
    ConfigurationTask,
    RecordFound,
    decode_configuration_record,
)
from gooseberrydeck_daemon.peers import Peers
from gooseberrydeck_daemon.views import MembershipView

__all__ = ["Change", "ConfigurationService", "version_header"]

PUBLISH_TIMEOUT_S = 5.0
CONFIRM_TIMEOUT_S = 2.0
CONFIRM_POLL_S = 0.1
CONFIRM_RETRY_DELAY_S = 0.01
MAX_CHANGE_ATTEMPTS = 8

Change = Callable[[Configuration], Configuration]
NO_NUMBER = ConfigurationNumber(0)


def version_header(record: VersionedRecord) -> VersionHeader:
    """Return the metadata of a record, without its content."""
    return VersionHeader(
        record.number,
        record.publication,
        record.author,
        record.comment,
        record.published_s,
    )


def without_number(configuration: Configuration) -> Configuration:
    """Return the configuration with its number reset.

    The number is stored in the record, not in its content.
    """
    return msgspec.structs.replace(configuration, number=NO_NUMBER)


class ConfigurationService:
    """Check and publish configurations.

    The threads of the operators' listener call it.
    """

    def __init__(
        self,
        member: MemberId,
        task: ConfigurationTask,
        publisher: Publisher,
        peers: Peers,
        membership: MembershipView,
        capacity: Callable[[], CellCapacity | None],
    ) -> None:
        """Publish through ``publisher``; check against the result of ``capacity``."""
        self.member = member
        self.task = task
        self.publisher = publisher
        self.peers = peers
        self.membership = membership
        self.capacity = capacity

    def local_holder(self) -> VersionedHolder:
        """Return a new holder with the record of this member."""
        holder = VersionedHolder()
        if self.task.record is not None:
            holder.offer(self.task.record)
        return holder

    def newest_record(self) -> VersionedRecord | None:
        """Return the newest record of the store, or the local one during an outage."""
        holder = self.local_holder()
        try:
            return self.publisher.read_newest(holder)
        except StoreError:
            return holder.record

    def configuration_of(self, record: VersionedRecord | None) -> Configuration:
        """Return the configuration of a record; an empty one for None."""
        return decode_configuration_record(record) if record else Configuration()

    def check(self, configuration: Configuration) -> CheckResponse:
        """Return the problems of a configuration and its differences to the newest."""
        before = self.configuration_of(self.newest_record())
        return CheckResponse(
            before.number,
            run_checks(configuration, self.capacity(), before),
            differences(before, configuration),
        )

    def publish(
        self,
        configuration: Configuration,
        base: VersionNumber,
        publication: PublicationId,
        author: str,
        comment: str,
    ) -> PublicationResponse:
        """Check a configuration, publish it after ``base`` and await confirmations.

        Raise ``ConfigurationInvalidError``, ``PublicationError`` or ``StoreError``.
        """
        before = self.configuration_of(self.task.record)
        problems = run_checks(configuration, self.capacity(), before)
        if has_errors(problems):
            raise ConfigurationInvalidError(problems)
        content = msgspec.json.encode(without_number(configuration))
        record = self.publisher.publish(
            Publication(publication, base, content, author, comment),
            self.local_holder(),
            PUBLISH_TIMEOUT_S,
        )
        return self.confirm(record, problems, before)

    def change(
        self, change: Change, publication: PublicationId, author: str, comment: str
    ) -> PublicationResponse:
        """Apply a change to the newest configuration and publish the result.

        After a conflict the change is applied again to the newer configuration. A
        change without effect was published before and is not published again.
        Raise ``PublicationConflictError`` if the last attempt conflicts too.
        """
        for _ in range(MAX_CHANGE_ATTEMPTS):
            holder = self.local_holder()
            record = self.publisher.read_newest(holder)
            before = self.configuration_of(record)
            try:
                after = change(before)
            except ConfigurationError:
                # A repeated withdrawal fails because its first attempt removed the key.
                earlier = self.find_publication(publication)
                if earlier is None:
                    raise
                return self.confirm(earlier, (), before)
            if record is not None and after == before:
                return self.confirm(record, (), before)
            base = record.number if record else NO_VERSION
            try:
                return self.publish(after, base, publication, author, comment)
            except PublicationConflictError as error:
                conflict = error
        raise conflict

    def find_publication(self, id: PublicationId) -> VersionedRecord | None:
        """Return the record with that publication id, or None if not in the history."""
        for record in self.publisher.list_history():
            if record.publication == id:
                return record
        return None

    def confirm(
        self,
        record: VersionedRecord,
        problems: Sequence[Problem],
        before: Configuration,
    ) -> PublicationResponse:
        """Apply a record on this member and wait until the peers have applied it."""
        self.task.post(RecordFound(record))
        names = [peer.member for peer in self.membership.peers()]
        confirmed = self.wait_for_peers(names, record.number)
        if self.task.number >= record.number:
            confirmed.add(self.member)
        unconfirmed = {self.member, *names} - confirmed
        members = len(names) + 1
        return PublicationResponse(
            header=version_header(record),
            confirmed=tuple(sorted(confirmed)),
            unconfirmed=tuple(sorted(unconfirmed)),
            is_in_force=not unconfirmed,
            is_guaranteed=not is_majority(len(unconfirmed), members),
            problems=tuple(problems),
            differences=differences(before, self.configuration_of(record)),
        )

    def wait_for_peers(
        self, names: Sequence[MemberId], number: VersionNumber
    ) -> set[MemberId]:
        """Return the peers that confirm ``number`` within ``CONFIRM_TIMEOUT_S``.

        Failed requests are repeated, because a connection may not be up yet.
        """
        end_s = time.monotonic() + CONFIRM_TIMEOUT_S
        confirmed: set[MemberId] = set()
        requests: dict[MemberId, Future[Any]] = {}
        while len(confirmed) < len(names) or self.task.number < number:
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                break
            for name in set(names) - confirmed - set(requests):
                message = AwaitConfiguration(number)
                requests[name] = self.peers.request(name, message, left_s)
            wait(requests.values(), min(left_s, CONFIRM_POLL_S), FIRST_COMPLETED)
            for name, future in list(requests.items()):
                if is_confirmed(future, number):
                    confirmed.add(name)
                if future.done():
                    del requests[name]
            if not requests:
                time.sleep(CONFIRM_RETRY_DELAY_S)
        return confirmed


def is_confirmed(future: Future[Any], number: VersionNumber) -> bool:
    """Return True if a peer replied that it has ``number`` or a newer one."""
    if not future.done() or future.exception() is not None:
        return False
    reply = future.result()
    return isinstance(reply, ConfigurationHeld) and reply.number >= number
