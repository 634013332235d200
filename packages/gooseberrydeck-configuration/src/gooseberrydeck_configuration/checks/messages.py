"""Problems reported by configuration checks."""

from enum import Enum

import msgspec

__all__ = ["Level", "Problem", "ProblemKind"]


class Level(Enum):
    """The severity of a problem; errors prevent publication."""

    WARNING = "warning"
    ERROR = "error"


class Problem(msgspec.Struct, frozen=True):
    """A problem found in a configuration.

    ``id`` is the stable identifier of its kind, ``object`` and ``field`` are the place
    in the configuration. ``file`` and ``path`` (a JSON path) are set only for problems
    found while decoding.
    """

    id: str
    level: Level
    object: str
    field: str
    message: str
    hint: str = ""
    file: str = ""
    path: str = ""

    def __str__(self) -> str:
        """Return a one-line description with the location and the hint."""
        place = ":".join(part for part in (self.file, self.path) if part)
        object_label = ".".join(part for part in (self.object, self.field) if part)
        where = " ".join(part for part in (place, object_label) if part)
        hint = f" (hint: {self.hint})" if self.hint else ""
        return f"{self.level.value} {self.id} {where}: {self.message}{hint}"


class ProblemKind(msgspec.Struct, frozen=True):
    """A kind of problem with its documentation.

    The reference page of checks lists the summary and the hint of every kind.
    """

    id: str
    summary: str
    hint: str

    @property
    def level(self) -> Level:
        """Return the level, as given by the letter E or W in the id."""
        letter = self.id.rpartition(".")[2][0]
        return Level.ERROR if letter == "E" else Level.WARNING

    def make_problem(
        self,
        object_label: str,
        field: str,
        message: str,
        *,
        hint: str = "",
        file: str = "",
        path: str = "",
    ) -> Problem:
        """Return a problem of this kind for a field of an object.

        ``hint`` overrides the default hint of the kind.
        """
        return Problem(
            self.id,
            self.level,
            object_label,
            field,
            message,
            hint or self.hint,
            file,
            path,
        )
