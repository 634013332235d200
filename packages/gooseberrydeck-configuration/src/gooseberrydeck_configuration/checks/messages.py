"""Problems that checks find, and the kinds that they are of."""

from enum import Enum

import msgspec

__all__ = ["Level", "Problem", "ProblemKind"]


class Level(Enum):
    """Whether a problem stops the publication."""

    WARNING = "warning"
    ERROR = "error"


class Problem(msgspec.Struct, frozen=True):
    """One problem: a stable id, the object and field it is about, and a hint.

    ``file`` and ``path`` (a JSON path) are set for problems of decoding.
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
        """Return the problem as one line."""
        place = ":".join(part for part in (self.file, self.path) if part)
        subject = ".".join(part for part in (self.object, self.field) if part)
        where = " ".join(part for part in (place, subject) if part)
        hint = f" (hint: {self.hint})" if self.hint else ""
        return f"{self.level.value} {self.id} {where}: {self.message}{hint}"


class ProblemKind(msgspec.Struct, frozen=True):
    """A kind of problem, with what the reference page says of it."""

    id: str
    summary: str
    hint: str

    @property
    def level(self) -> Level:
        """Return the level, which the id's letter gives."""
        letter = self.id.rpartition(".")[2][0]
        return Level.ERROR if letter == "E" else Level.WARNING

    def at(
        self,
        subject: str,
        field: str,
        message: str,
        *,
        hint: str = "",
        file: str = "",
        path: str = "",
    ) -> Problem:
        """Return a problem of this kind at a field of an object."""
        return Problem(
            self.id, self.level, subject, field, message, hint or self.hint, file, path
        )
