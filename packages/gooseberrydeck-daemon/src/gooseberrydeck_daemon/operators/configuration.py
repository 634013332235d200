"""The operators' paths below /v1/configuration and /v1/keys."""

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
from gooseberrydeck_daemon.operators.application import OPERATOR_KEY
from gooseberrydeck_daemon.operators.parameters import (
    decode_body,
    number_parameter,
    text_parameter,
)
from gooseberrydeck_daemon.operators.problems import (
    OperatorProblem,
    OperatorProblemError,
)
from gooseberrydeck_daemon.operators.publishing import ConfigurationService, header_of
from gooseberrydeck_service.responses import Response, json_response

__all__ = ["ConfigurationHandler"]

DEFAULT_HISTORY_LENGTH = 20


def explain(handle: Callable[[Request], Response]) -> Handler:
    """Turn the failures of a handler into the operators' problems."""

    def explained(request: Request) -> Response:
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

    return explained


def conflict_problem(error: PublicationConflictError) -> OperatorProblemError:
    """Tell a publisher that lost a race what changed, and how to carry on."""
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
        newest=header_of(newest) if newest else None,
        differences=differences(before, after) if before is not None else None,
    )


class ConfigurationHandler:
    """Serve configurations and keys."""

    def __init__(self, service: ConfigurationService) -> None:
        """Check and publish by ``service``."""
        self.service = service

    def add_routes(self, router: Router) -> None:
        """Add every path."""
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
            router.add(Route(method, pattern, explain(handle)))

    def show(self, request: Request) -> Response:
        """Answer the configuration in force on this member."""
        record = self.service.task.record
        if record is None:
            detail = "nothing has been published, or this member holds nothing yet"
            raise OperatorProblemError(OperatorProblem.VERSION_UNKNOWN, detail)
        return json_response(200, self.version(record, self.service.task.is_fresh()))

    def show_version(self, request: Request) -> Response:
        """Answer a configuration of the history."""
        return json_response(200, self.version(self.find(request.parameters["number"])))

    def version(
        self, record: VersionedRecord, is_fresh: bool = True
    ) -> VersionResponse:
        """Return a record as an answer."""
        configuration = decode_configuration_record(record)
        return VersionResponse(header_of(record), configuration, is_fresh)

    def find(self, text: str) -> VersionedRecord:
        """Return a record of the history by its number in text."""
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
        """Answer the newest headers of the history."""
        length = number_parameter(request, "limit", DEFAULT_HISTORY_LENGTH)
        records = self.service.publisher.list_history()[:length]
        return json_response(200, HistoryResponse(tuple(map(header_of, records))))

    def diff(self, request: Request) -> Response:
        """Answer what differs between two configurations of the history."""
        before = self.find(text_parameter(request, "before"))
        after = self.find(text_parameter(request, "after"))
        found = differences(
            decode_configuration_record(before), decode_configuration_record(after)
        )
        return json_response(
            200, DifferenceResponse(before.number, after.number, found)
        )

    def check(self, request: Request) -> Response:
        """Answer the problems of a proposed configuration."""
        configuration = decode_configuration(request.read_body())
        return json_response(200, self.service.check(configuration))

    def publish(self, request: Request) -> Response:
        """Publish the body after the number ``base``."""
        base = VersionNumber(number_parameter(request, "base"))
        publication = PublicationId(text_parameter(request, "publication"))
        configuration = decode_configuration(request.read_body())
        answer = self.service.publish(
            configuration,
            base,
            check_publication_id(publication),
            request.parameters[OPERATOR_KEY],
            text_parameter(request, "comment", ""),
        )
        return json_response(200, answer)

    def list_keys(self, request: Request) -> Response:
        """Answer the keys in force on this member."""
        current = self.service.current(self.service.task.record)
        return json_response(200, KeysResponse(current.number, current.keys))

    def grant(self, request: Request) -> Response:
        """Publish a key, of which the body holds the hash."""
        publication = PublicationId(text_parameter(request, "publication"))
        key = decode_body(request, Key)
        published = self.service.change(
            lambda configuration: grant_key(configuration, key),
            check_publication_id(publication),
            request.parameters[OPERATOR_KEY],
            f"grant key {key.id}",
        )
        return json_response(200, KeyResponse(key.id, published))

    def withdraw(self, request: Request) -> Response:
        """Publish without a key; repeating it under one id is one withdrawal."""
        publication = PublicationId(text_parameter(request, "publication"))
        id = KeyId(request.parameters["key"])
        published = self.service.change(
            lambda configuration: withdraw_key(configuration, id),
            check_publication_id(publication),
            request.parameters[OPERATOR_KEY],
            f"withdraw key {id}",
        )
        return json_response(200, KeyResponse(id, published))


def check_publication_id(id: PublicationId) -> PublicationId:
    """Return the id, or raise a problem if it cannot be stored."""
    if not 1 <= len(id) <= 128:
        detail = "a publication's id has 1 to 128 characters"
        raise OperatorProblemError(OperatorProblem.BAD_PARAMETER, detail)
    return id
