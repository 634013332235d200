"""Loading a configuration from one JSON file or a folder of them."""

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
MESSAGE_PATTERN = re.compile(r"(?P<message>.*?)(?: - at `\$(?P<path>.*)`)?", re.DOTALL)

FILE_UNREADABLE = registry.define(
    "files.E001", "A file cannot be read.", "check the path and its permissions"
)
FILE_NOT_JSON = registry.define(
    "files.E002", "A file is not JSON.", "correct the syntax at the given byte"
)
FILE_WRONG_SHAPE = registry.define(
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
NO_FILES = registry.define(
    "files.E008", "A folder has no JSON files.", "add files that end in .json"
)
FILE_TOO_LARGE = registry.define(
    "files.E009",
    "A file is too large.",
    f"keep each file under {MAX_FILE_BYTES} bytes",
)


class Decoder:
    """Collect the objects and the problems of several documents."""

    def __init__(self) -> None:
        """Begin with no objects and no problems."""
        self.objects: dict[str, list[Any]] = {section: [] for section in SECTIONS}
        self.problems: list[Problem] = []
        self.number = ConfigurationNumber(0)

    def add(self, file: str, data: bytes) -> None:
        """Decode one document and keep what it holds."""
        if len(data) > MAX_FILE_BYTES:
            message = f"the document takes {len(data)} bytes"
            self.problems.append(FILE_TOO_LARGE.at("", "", message, file=file))
            return
        try:
            document = msgspec.json.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            self.problems.append(FILE_NOT_JSON.at("", "", str(error), file=file))
            return
        if not isinstance(document, dict):
            self.report_shape(file, "$", "an object", document)
            return
        for section, items in document.items():
            self.add_section(file, section, items)

    def add_section(self, file: str, section: str, items: Any) -> None:
        """Decode one section of a document."""
        path = f"$.{section}"
        if section == NUMBER_FIELD:
            self.add_number(file, items)
        elif section not in SECTIONS:
            message = f"there is no section {section!r}"
            self.problems.append(
                UNKNOWN_SECTION.at(section, "", message, file=file, path=path)
            )
        elif not isinstance(items, list):
            self.report_shape(file, path, "a list", items)
        else:
            for index, item in enumerate(items):
                self.add_object(file, section, f"{path}[{index}]", item)

    def add_number(self, file: str, value: Any) -> None:
        """Keep the number that the document was taken from."""
        if isinstance(value, bool) or not isinstance(value, int) or value < 0:
            self.problems.append(
                WRONG_TYPE.at(
                    "", "number", "expected a whole number", file=file, path="$.number"
                )
            )
            return
        self.number = ConfigurationNumber(max(self.number, value))

    def add_object(self, file: str, section: str, path: str, item: Any) -> None:
        """Decode one object and keep it if it is whole."""
        if not isinstance(item, dict):
            self.report_shape(file, path, "an object", item)
            return
        problems = list(object_problems(file, section, path, item))
        self.problems.extend(problems)
        if not problems:
            self.objects[section].append(msgspec.convert(item, SECTIONS[section]))

    def report_shape(self, file: str, path: str, expected: str, value: Any) -> None:
        """Record that a value has the wrong shape."""
        message = f"expected {expected}, got {json_type(value)}"
        self.problems.append(FILE_WRONG_SHAPE.at("", "", message, file=file, path=path))

    def result(self) -> Configuration:
        """Return the configuration, or raise with every problem."""
        if self.problems:
            raise ConfigurationInvalidError(tuple(self.problems))
        sections = {name: tuple(items) for name, items in self.objects.items()}
        return Configuration(number=self.number, **sections)


def object_problems(
    file: str, section: str, path: str, item: dict[str, Any]
) -> Iterator[Problem]:
    """Yield every problem of one object, field by field."""
    fields = {field.name: field for field in msgspec.structs.fields(SECTIONS[section])}
    name = f"{section.removesuffix('s')} {object_name(item)}".rstrip()
    for key, value in item.items():
        if key not in fields:
            yield UNKNOWN_FIELD.at(
                name, key, f"there is no field {key!r}", file=file, path=f"{path}.{key}"
            )
            continue
        try:
            msgspec.convert(value, fields[key].type)
        except msgspec.ValidationError as error:
            match = MESSAGE_PATTERN.fullmatch(str(error))
            inner = (match and match["path"]) or ""
            message = match["message"] if match else str(error)
            yield WRONG_TYPE.at(
                name, key, message, file=file, path=f"{path}.{key}{inner}"
            )
    for key, field in fields.items():
        if field.required and key not in item:
            yield MISSING_FIELD.at(
                name, key, f"the field {key!r} is missing", file=file, path=path
            )


def object_name(item: dict[str, Any]) -> str:
    """Return what an object calls itself, or an empty string."""
    for field in ("name", "id", "team"):
        value = item.get(field)
        if isinstance(value, str):
            return value
    return ""


def json_type(value: Any) -> str:
    """Return the JSON type of a decoded value."""
    names = {dict: "an object", list: "a list", str: "a string", bool: "a boolean"}
    names[type(None)] = "null"
    return names.get(type(value), "a number")


def decode_configuration(data: bytes, file: str = "") -> Configuration:
    """Decode one document, or raise ``ConfigurationInvalidError`` with all problems."""
    decoder = Decoder()
    decoder.add(file, data)
    return decoder.result()


def load_configuration(path: Path) -> Configuration:
    """Load a file, or every ``*.json`` of a folder in the order of their names.

    Raise ``ConfigurationInvalidError`` with all problems of all files.
    """
    decoder = Decoder()
    for file in configuration_files(path, decoder):
        try:
            data = file.read_bytes()
        except OSError as error:
            message = error.strerror or type(error).__name__
            decoder.problems.append(FILE_UNREADABLE.at("", "", message, file=str(file)))
            continue
        decoder.add(str(file), data)
    return decoder.result()


def configuration_files(path: Path, decoder: Decoder) -> list[Path]:
    """Return the files to load; a folder without any is a problem."""
    if not path.is_dir():
        return [path]
    files = sorted(path.glob("*.json"))
    if not files:
        decoder.problems.append(
            NO_FILES.at("", "", "the folder has no .json files", file=str(path))
        )
    return files
