"""Output of values as JSON, lines or tables."""

from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from gooseberrydeck_coordination.resources import Resources

__all__ = ["print_json", "print_lines", "print_table", "show"]

PIPED_WIDTH_COLUMNS = 200


def print_json(value: object) -> None:
    """Print a value as indented JSON."""
    typer.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_lines(lines: Iterable[object]) -> None:
    """Print each item on a line of its own."""
    for line in lines:
        typer.echo(str(line))


def print_table(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print a table.

    The width is that of the terminal, or ``PIPED_WIDTH_COLUMNS`` if standard output is
    not a terminal.
    """
    console = Console()
    if not console.is_terminal:
        console = Console(width=PIPED_WIDTH_COLUMNS)
    table = Table(box=None, pad_edge=False)
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(format_value(value) for value in row))
    console.print(table, markup=False)


def format_value(value: Any) -> str:
    """Return the text of a table cell."""
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple):
        return ", ".join(format_value(item) for item in value) or "-"
    if isinstance(value, Resources):
        return (
            f"{value.cpu_millis / 1000:g} cpu, {value.memory_mib} MiB, "
            f"{value.accelerators} acc"
        )
    return str(getattr(value, "value", value))


def show(
    items: Sequence[msgspec.Struct], as_json: bool, response: object = None
) -> None:
    """Print structs as a table with a column for each field, or as JSON.

    ``response`` is printed as JSON instead of the items, if given.
    """
    if as_json:
        print_json(items if response is None else response)
    elif not items:
        typer.echo("none")
    else:
        names = [field.name for field in msgspec.structs.fields(items[0])]
        rows = [[getattr(item, name) for name in names] for item in items]
        print_table(names, rows)
