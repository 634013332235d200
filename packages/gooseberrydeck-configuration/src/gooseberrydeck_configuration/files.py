"""Loading of configurations from JSON files."""

import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from gooseberrydeck_configuration.checks.messages import Problem
from gooseberrydeck_configuration.checks.registry import registry
from gooseberrydeck_configuration.exceptions import ConfigurationInvalidError
from gooseberrydeck_configuration.objects import (
    Configuration,
    Key,
    Limit,
    Queue,
    Service,
    Share,
    Team,
)
from gooseberrydeck_coordination.decoding import DecodingError, decode_document
from gooseberrydeck_coordination.ids import ConfigurationNumber

__all__ = ["MAX_FILE_BYTES", "SECTIONS", "decode_configuration", "load_configuration"]

MAX_FILE_BYTES = 4 * 1_048_576
NUMBER_FIELD = "number"
SECTIONS: dict[str, type[msgspec.Struct]] = {
    "teams": Team,
    "keys": Key,
    "shares": Share,
    "limits": Limit,
    "queues": Queue,
    "services": Service,
}
VALIDATION_MESSAGE_PATTERN = re.compile(
    r"(?P<message>.*?)(?: - at `\$(?P<path>.*)`)?", re.DOTALL
)

FILE_UNREADABLE = registry.define(
    "files.E001", "A file cannot be read.", "check the path and its permissions"
)
FILE_NOT_JSON = registry.define(
    "files.E002", "A file is not JSON.", "correct the syntax at the given byte"
)
INVALID_STRUCTURE = registry.define(
    "files.E003",
    "A file or a section has the wrong shape.",
    "a file is an object of sections, and a section is a list of objects",
)
UNKNOWN_SECTION = registry.define(
    "files.E004",
    "A file has a section that is not known.",
    f"the sections are {', '.join(SECTIONS)}",
)
UNKNOWN_FIELD = registry.define(
    "files.E005", "An object has a field that is not known.", "remove or correct it"
)
MISSING_FIELD = registry.define(
    "files.E006", "An object lacks a field.", "add the field"
)
WRONG_TYPE = registry.define(
    "files.E007", "A field's value has the wrong type.", "correct the value"
)
DIRECTORY_EMPTY = registry.define(
    "files.E008", "A folder has no JSON files.", "add files that end in .json"
)
FILE_TOO_LARGE = registry.define(
    "files.E009",
    "A file is too large.",
    f"keep each file under {MAX_FILE_BYTES} bytes",
)


class ConfigurationDecoder:
    """Decode JSON documents into one configuration.

    All problems of all documents are collected, so that an operator sees every error
    in one run.
    """

    def __init__(self) -> None:
        """Create a decoder without objects or problems."""
        self.objects: dict[str, list[Any]] = {section: [] for section in SECTIONS}
        self.problems: list[Problem] = []
        self.number = ConfigurationNumber(0)

    def add_document(self, file: str, data: bytes) -> None:
        """Decode a document and add its objects and problems."""
        if len(data) > MAX_FILE_BYTES:
            message = f"the document takes {len(data)} bytes"
            self.problems.append(
                FILE_TOO_LARGE.make_problem("", "", message, file=file)
            )
            return
        try:
            document = decode_document(data)
        except DecodingError as error:
            self.problems.append(
                FILE_NOT_JSON.make_problem("", "", str(error), file=file)
            )
            return
        if not isinstance(document, dict):
            self.add_structure_problem(file, "$", "an object", document)
            return
        for section, items in document.items():
            self.add_section(file, section, items)

    def add_section(self, file: str, section: str, items: Any) -> None:
        """Decode a top-level section of a document and add its objects and problems."""
        path = f"$.{section}"
        if section == NUMBER_FIELD:
            self.add_number(file, items)
        elif section not in SECTIONS:
            message = f"there is no section {section!r}"
            self.problems.append(
                UNKNOWN_SECTION.make_problem(section, "", message, file=file, path=path)
            )
        elif not isinstance(items, list):
            self.add_structure_problem(file, path, "a list", items)
        else:
            for index, item in enumerate(items):
                self.add_object(file, section, f"{path}[{index}]", item)

    def add_number(self, file: str, value: Any) -> None:
        """Record the number of the configuration that the document was exported from.

        The highest number of all documents is kept.
        """
        if isinstance(value, bool) or not isinstance(value, int) or value < 0:
            self.problems.append(
                WRONG_TYPE.make_problem(
                    "", "number", "expected a whole number", file=file, path="$.number"
                )
            )
            return
        self.number = ConfigurationNumber(max(self.number, value))

    def add_object(self, file: str, section: str, path: str, item: Any) -> None:
        """Decode an object and add it if it has no problems."""
        if not isinstance(item, dict):
            self.add_structure_problem(file, path, "an object", item)
            return
        problems = list(find_object_problems(file, section, path, item))
        self.problems.extend(problems)
        if not problems:
            self.objects[section].append(msgspec.convert(item, SECTIONS[section]))

    def add_structure_problem(
        self, file: str, path: str, expected: str, value: Any
    ) -> None:
        """Record that a value is not the expected JSON container."""
        message = f"expected {expected}, got {describe_json_type(value)}"
        self.problems.append(
            INVALID_STRUCTURE.make_problem("", "", message, file=file, path=path)
        )

    def build(self) -> Configuration:
        """Return the configuration.

        Raise ``ConfigurationInvalidError`` if any document had problems.
        """
        if self.problems:
            raise ConfigurationInvalidError(tuple(self.problems))
        sections = {name: tuple(items) for name, items in self.objects.items()}
        return Configuration(number=self.number, **sections)


def find_object_problems(
    file: str, section: str, path: str, item: dict[str, Any]
) -> Iterator[Problem]:
    """Yield the unknown, invalid and missing fields of an object."""
    fields = {field.name: field for field in msgspec.structs.fields(SECTIONS[section])}
    name = f"{section.removesuffix('s')} {object_identifier(item)}".rstrip()
    for key, value in item.items():
        if key not in fields:
            yield UNKNOWN_FIELD.make_problem(
                name, key, f"there is no field {key!r}", file=file, path=f"{path}.{key}"
            )
            continue
        try:
            msgspec.convert(value, fields[key].type)
        except msgspec.ValidationError as error:
            match = VALIDATION_MESSAGE_PATTERN.fullmatch(str(error))
            inner = (match and match["path"]) or ""
            message = match["message"] if match else str(error)
            yield WRONG_TYPE.make_problem(
                name, key, message, file=file, path=f"{path}.{key}{inner}"
            )
    for key, field in fields.items():
        if field.required and key not in item:
            yield MISSING_FIELD.make_problem(
                name, key, f"the field {key!r} is missing", file=file, path=path
            )


def object_identifier(item: dict[str, Any]) -> str:
    """Return the identifier of an undecoded object, or an empty string."""
    for field in ("name", "id", "team"):
        value = item.get(field)
        if isinstance(value, str):
            return value
    return ""


def describe_json_type(value: Any) -> str:
    """Return the JSON type of a decoded value as a noun for messages."""
    names = {dict: "an object", list: "a list", str: "a string", bool: "a boolean"}
    names[type(None)] = "null"
    return names.get(type(value), "a number")


def decode_configuration(data: bytes, file: str = "") -> Configuration:
    """Decode a configuration from one JSON document.

    ``file`` is the name used in problems. Raise ``ConfigurationInvalidError`` with all
    problems of the document.
    """
    decoder = ConfigurationDecoder()
    decoder.add_document(file, data)
    return decoder.build()


def load_configuration(path: Path) -> Configuration:
    """Load a configuration from a file or from all ``*.json`` files of a directory.

    Files of a directory are read in the order of their names. Raise
    ``ConfigurationInvalidError`` with the problems of all files.
    """
    decoder = ConfigurationDecoder()
    for file in list_files(path, decoder):
        try:
            data = file.read_bytes()
        except OSError as error:
            message = error.strerror or type(error).__name__
            decoder.problems.append(
                FILE_UNREADABLE.make_problem("", "", message, file=str(file))
            )
            continue
        decoder.add_document(str(file), data)
    return decoder.build()


def list_files(path: Path, decoder: ConfigurationDecoder) -> list[Path]:
    """Return the files to load, and record a problem for a directory without any."""
    if not path.is_dir():
        return [path]
    files = sorted(path.glob("*.json"))
    if not files:
        decoder.problems.append(
            DIRECTORY_EMPTY.make_problem(
                "", "", "the folder has no .json files", file=str(path)
            )
        )
    return files
