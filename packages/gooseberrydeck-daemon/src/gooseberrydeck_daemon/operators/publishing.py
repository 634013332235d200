"""Checking and publishing configurations for operators."""

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

__all__ = ["Change", "ConfigurationService", "header_of"]

PUBLISH_TIMEOUT_S = 5.0
CONFIRM_TIMEOUT_S = 2.0
CONFIRM_STEP_S = 0.1
CONFIRM_PAUSE_S = 0.01
MAX_CHANGE_TRIES = 8

Change = Callable[[Configuration], Configuration]
NO_NUMBER = ConfigurationNumber(0)


def header_of(record: VersionedRecord) -> VersionHeader:
    """Return a record without its content."""
    return VersionHeader(
        record.number,
        record.publication,
        record.author,
        record.comment,
        record.published_s,
    )


def without_number(configuration: Configuration) -> Configuration:
    """Return the content to store; the number is the record's."""
    return msgspec.structs.replace(configuration, number=NO_NUMBER)


class ConfigurationService:
    """Check and publish; used by the threads of the operators' listener."""

    def __init__(
        self,
        member: MemberId,
        task: ConfigurationTask,
        publisher: Publisher,
        peers: Peers,
        membership: MembershipView,
        capacity: Callable[[], CellCapacity | None],
    ) -> None:
        """Publish by ``publisher``, and check against what ``capacity`` returns."""
        self.member = member
        self.task = task
        self.publisher = publisher
        self.peers = peers
        self.membership = membership
        self.capacity = capacity

    def holder(self) -> VersionedHolder:
        """Return a holder of what this member holds, for one publication."""
        holder = VersionedHolder()
        if self.task.record is not None:
            holder.offer(self.task.record)
        return holder

    def newest(self) -> VersionedRecord | None:
        """Return the newest record: the store's, or else the one held here."""
        holder = self.holder()
        try:
            return self.publisher.read_newest(holder)
        except StoreError:
            return holder.record

    def current(self, record: VersionedRecord | None) -> Configuration:
        """Return a record's configuration, or the empty one."""
        return decode_configuration_record(record) if record else Configuration()

    def check(self, configuration: Configuration) -> CheckResponse:
        """Return every problem and what would change."""
        before = self.current(self.newest())
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
        """Check and publish after ``base``, and tell which members hold it.

        Raise ``ConfigurationInvalidError``, ``PublicationError`` or ``StoreError``.
        """
        before = self.current(self.task.record)
        problems = run_checks(configuration, self.capacity(), before)
        if has_errors(problems):
            raise ConfigurationInvalidError(problems)
        content = msgspec.json.encode(without_number(configuration))
        record = self.publisher.publish(
            Publication(publication, base, content, author, comment),
            self.holder(),
            PUBLISH_TIMEOUT_S,
        )
        return self.confirm(record, problems, before)

    def change(
        self, change: Change, publication: PublicationId, author: str, comment: str
    ) -> PublicationResponse:
        """Publish a change of a single object, whatever else is published meanwhile.

        A lost race is run again on the newer configuration. A change that changes
        nothing has been made before and is not published again.
        """
        for _ in range(MAX_CHANGE_TRIES):
            holder = self.holder()
            record = self.publisher.read_newest(holder)
            before = self.current(record)
            try:
                after = change(before)
            except ConfigurationError:
                # A repeated withdrawal finds the key gone by its own first try.
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
        """Return the publication of that id, if it is kept."""
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
        """Put a record in force here, and wait for the peers to hold it."""
        self.task.post(RecordFound(record))
        names = [peer.member for peer in self.membership.peers()]
        confirmed = self.await_peers(names, record.number)
        if self.task.number >= record.number:
            confirmed.add(self.member)
        unconfirmed = {self.member, *names} - confirmed
        members = len(names) + 1
        return PublicationResponse(
            header=header_of(record),
            confirmed=tuple(sorted(confirmed)),
            unconfirmed=tuple(sorted(unconfirmed)),
            is_in_force=not unconfirmed,
            is_guaranteed=not is_majority(len(unconfirmed), members),
            problems=tuple(problems),
            differences=differences(before, self.current(record)),
        )

    def await_peers(
        self, names: Sequence[MemberId], number: VersionNumber
    ) -> set[MemberId]:
        """Return the peers that hold ``number`` within the time for confirmations.

        A peer whose connection is not up yet is asked again.
        """
        end_s = time.monotonic() + CONFIRM_TIMEOUT_S
        confirmed: set[MemberId] = set()
        asked: dict[MemberId, Future[Any]] = {}
        while len(confirmed) < len(names) or self.task.number < number:
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                break
            for name in set(names) - confirmed - set(asked):
                message = AwaitConfiguration(number)
                asked[name] = self.peers.request(name, message, left_s)
            wait(asked.values(), min(left_s, CONFIRM_STEP_S), FIRST_COMPLETED)
            for name, future in list(asked.items()):
                if holds(future, number):
                    confirmed.add(name)
                if future.done():
                    del asked[name]
            if not asked:
                time.sleep(CONFIRM_PAUSE_S)
        return confirmed


def holds(future: Future[Any], number: VersionNumber) -> bool:
    """Tell whether a peer answered that it holds ``number`` or a newer one."""
    if not future.done() or future.exception() is not None:
        return False
    answer = future.result()
    return isinstance(answer, ConfigurationHeld) and answer.number >= number
