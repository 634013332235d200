"""Connections that report malformed requests as problem details."""

from waitress.task import ErrorTask

from gooseberrydeck_daemon.http.problems import ProblemError, ProblemType
from gooseberrydeck_service.http_server import DrainableChannel
from gooseberrydeck_service.responses import status_line

__all__ = ["ProblemChannel"]

PROBLEM_TYPES_BY_STATUS = {
    413: ProblemType.BODY_TOO_LARGE,
    431: ProblemType.HEADERS_TOO_LARGE,
    500: ProblemType.INTERNAL,
    501: ProblemType.NOT_IMPLEMENTED,
    503: ProblemType.AT_CAPACITY,
}


class ProblemTask(ErrorTask):  # type: ignore[misc]
    """Return problem details for a request that waitress could not parse."""

    def execute(self) -> None:
        """Write the problem details and close the connection."""
        error = self.request.error
        kind = PROBLEM_TYPES_BY_STATUS.get(error.code, ProblemType.BAD_REQUEST)
        response = ProblemError(kind, error.body).to_response()
        self.status = status_line(response.status)
        self.response_headers.append(("Content-Type", response.content_type))
        self.set_close_on_finish()
        self.content_length = len(response.body)
        self.write(response.body)


class ProblemChannel(DrainableChannel):
    """Client connection that reports malformed requests as problem details."""

    error_task_class = ProblemTask
