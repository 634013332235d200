"""Handlers of the paths under /v1/configuration and /v1/keys."""

from collections.abc import Callable

from gooseberrydeck_configuration import (
    Configuration,
    ConfigurationInvalidError,
    Key,
    KeyAlreadyExistsError,
    KeyNotFoundError,
    decode_configuration,
    differences,
    grant_key,
    withdraw_key,
)
from gooseberrydeck_configuration.api import (
    DifferenceResponse,
    HistoryResponse,
    KeyResponse,
    KeysResponse,
    VersionResponse,
)
from gooseberrydeck_coordination.exceptions import StoreError
from gooseberrydeck_coordination.ids import KeyId
from gooseberrydeck_coordination.versioned import (
    NO_VERSION,
    PublicationConflictError,
    PublicationId,
    PublicationIdReusedError,
    PublicationNotMadeError,
    PublicationOutcomeUnknownError,
    VersionedRecord,
    VersionNumber,
)
from gooseberrydeck_daemon.controllers.configuration import decode_configuration_record
from gooseberrydeck_daemon.dispatch.exceptions import Outcome
from gooseberrydeck_daemon.http.requests import Request
from gooseberrydeck_daemon.http.router import Handler, Route, Router
from gooseberrydeck_daemon.operators.application import OPERATOR_PARAMETER
from gooseberrydeck_daemon.operators.parameters import (
    decode_body,
    number_parameter,
    text_parameter,
)
from gooseberrydeck_daemon.operators.problems import (
    OperatorProblem,
    OperatorProblemError,
)
from gooseberrydeck_daemon.operators.publishing import (
    ConfigurationService,
    version_header,
)
from gooseberrydeck_service.responses import Response, json_response

__all__ = ["ConfigurationHandler"]

DEFAULT_HISTORY_LENGTH = 20


def convert_errors(handle: Callable[[Request], Response]) -> Handler:
    """Wrap a handler so that its exceptions become operator problems."""

    def wrapper(request: Request) -> Response:
        try:
            return handle(request)
        except ConfigurationInvalidError as error:
            raise OperatorProblemError(
                OperatorProblem.INVALID, str(error), problems=error.problems
            ) from error
        except PublicationConflictError as error:
            raise conflict_problem(error) from error
        except PublicationIdReusedError as error:
            raise OperatorProblemError(OperatorProblem.ID_REUSED, str(error)) from error
        except PublicationOutcomeUnknownError as error:
            detail = "publish again under the same id to find out"
            raise OperatorProblemError(
                OperatorProblem.OUTCOME_UNKNOWN,
                detail,
                Outcome.UNKNOWN,
                publication=error.publication,
            ) from error
        except (PublicationNotMadeError, StoreError) as error:
            raise OperatorProblemError(
                OperatorProblem.STORE_UNAVAILABLE, "nothing was published"
            ) from error
        except KeyAlreadyExistsError as error:
            raise OperatorProblemError(
                OperatorProblem.KEY_EXISTS, str(error)
            ) from error
        except KeyNotFoundError as error:
            raise OperatorProblemError(
                OperatorProblem.KEY_NOT_FOUND, str(error)
            ) from error

    return wrapper


def conflict_problem(error: PublicationConflictError) -> OperatorProblemError:
    """Return the problem for a publication that lost a race against another.

    It lists the differences between the base of the publication and the newest
    configuration, unless the base is no longer in the history.
    """
    newest = error.newest
    after = decode_configuration_record(newest) if newest else Configuration()
    before = None
    if error.base == NO_VERSION:
        before = Configuration()
    elif error.base_record is not None:
        before = decode_configuration_record(error.base_record)
    detail = (
        f"the newest number is {after.number}, not {error.base}; "
        "look at the differences and publish again after the newest number"
    )
    return OperatorProblemError(
        OperatorProblem.CONFLICT,
        detail,
        number=after.number,
        newest=version_header(newest) if newest else None,
        differences=differences(before, after) if before is not None else None,
    )


class ConfigurationHandler:
    """Show, check and publish configurations and keys."""

    def __init__(self, service: ConfigurationService) -> None:
        """Check and publish through ``service``."""
        self.service = service

    def add_routes(self, router: Router) -> None:
        """Add the routes of this handler to ``router``."""
        for method, pattern, handle in (
            ("GET", "/v1/configuration", self.show),
            ("POST", "/v1/configuration", self.publish),
            ("POST", "/v1/configuration/check", self.check),
            ("GET", "/v1/configuration/diff", self.diff),
            ("GET", "/v1/configuration/history", self.history),
            ("GET", "/v1/configuration/history/{number}", self.show_version),
            ("GET", "/v1/keys", self.list_keys),
            ("POST", "/v1/keys", self.grant),
            ("DELETE", "/v1/keys/{key}", self.withdraw),
        ):
            router.add(Route(method, pattern, convert_errors(handle)))

    def show(self, request: Request) -> Response:
        """Return the configuration in force on this member."""
        record = self.service.task.record
        if record is None:
            detail = "nothing has been published, or this member holds nothing yet"
            raise OperatorProblemError(OperatorProblem.VERSION_UNKNOWN, detail)
        return json_response(
            200, self.version_response(record, self.service.task.is_fresh())
        )

    def show_version(self, request: Request) -> Response:
        """Return a configuration of the history."""
        return json_response(
            200, self.version_response(self.find_version(request.parameters["number"]))
        )

    def version_response(
        self, record: VersionedRecord, is_fresh: bool = True
    ) -> VersionResponse:
        """Decode a record into a response body."""
        configuration = decode_configuration_record(record)
        return VersionResponse(version_header(record), configuration, is_fresh)

    def find_version(self, text: str) -> VersionedRecord:
        """Return the record of the history with the number ``text``.

        Raise ``OperatorProblemError`` if the number is invalid or not in the history.
        """
        if not (text.isascii() and text.isdigit() and len(text) <= 8):
            raise OperatorProblemError(
                OperatorProblem.BAD_PARAMETER, "a number has up to 8 digits"
            )
        record = self.service.publisher.read_history(VersionNumber(int(text)))
        if record is None:
            detail = f"configuration {text} is not kept"
            raise OperatorProblemError(OperatorProblem.VERSION_UNKNOWN, detail)
        return record

    def history(self, request: Request) -> Response:
        """Return the headers of the newest versions; ``limit`` bounds their number."""
        length = number_parameter(request, "limit", DEFAULT_HISTORY_LENGTH)
        records = self.service.publisher.list_history()[:length]
        return json_response(200, HistoryResponse(tuple(map(version_header, records))))

    def diff(self, request: Request) -> Response:
        """Return the differences between two configurations of the history."""
        before = self.find_version(text_parameter(request, "before"))
        after = self.find_version(text_parameter(request, "after"))
        found = differences(
            decode_configuration_record(before), decode_configuration_record(after)
        )
        return json_response(
            200, DifferenceResponse(before.number, after.number, found)
        )

    def check(self, request: Request) -> Response:
        """Return the problems of a proposed configuration and its differences."""
        configuration = decode_configuration(request.read_body())
        return json_response(200, self.service.check(configuration))

    def publish(self, request: Request) -> Response:
        """Publish the configuration in the body if ``base`` is the newest number."""
        base = VersionNumber(number_parameter(request, "base"))
        publication = PublicationId(text_parameter(request, "publication"))
        configuration = decode_configuration(request.read_body())
        publication_response = self.service.publish(
            configuration,
            base,
            check_publication_id(publication),
            request.parameters[OPERATOR_PARAMETER],
            text_parameter(request, "comment", ""),
        )
        return json_response(200, publication_response)

    def list_keys(self, request: Request) -> Response:
        """Return the keys in force on this member."""
        current = self.service.configuration_of(self.service.task.record)
        return json_response(200, KeysResponse(current.number, current.keys))

    def grant(self, request: Request) -> Response:
        """Publish a new key; the body has the hash of its secret."""
        publication = PublicationId(text_parameter(request, "publication"))
        key = decode_body(request, Key)
        published = self.service.change(
            lambda configuration: grant_key(configuration, key),
            check_publication_id(publication),
            request.parameters[OPERATOR_PARAMETER],
            f"grant key {key.id}",
        )
        return json_response(200, KeyResponse(key.id, published))

    def withdraw(self, request: Request) -> Response:
        """Publish the configuration without a key.

        A repeated request with the same publication id has no further effect.
        """
        publication = PublicationId(text_parameter(request, "publication"))
        id = KeyId(request.parameters["key"])
        published = self.service.change(
            lambda configuration: withdraw_key(configuration, id),
            check_publication_id(publication),
            request.parameters[OPERATOR_PARAMETER],
            f"withdraw key {id}",
        )
        return json_response(200, KeyResponse(id, published))


def check_publication_id(id: PublicationId) -> PublicationId:
    """Return the id; raise ``OperatorProblemError`` if its length is invalid."""
    if not 1 <= len(id) <= 128:
        detail = "a publication's id has 1 to 128 characters"
        raise OperatorProblemError(OperatorProblem.BAD_PARAMETER, detail)
    return id
