"""Printing answers as JSON or as tables."""

from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from gooseberrydeck_coordination.resources import Resources

__all__ = ["print_json", "print_lines", "print_table", "show"]

PLAIN_WIDTH = 200


def print_json(answer: object) -> None:
    """Print an answer as indented JSON."""
    typer.echo(msgspec.json.format(msgspec.json.encode(answer), indent=2).decode())


def print_lines(lines: Iterable[object]) -> None:
    """Print one line for each item."""
    for line in lines:
        typer.echo(str(line))


def print_table(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print a table; a terminal sets its width, a pipe gets whole lines."""
    console = Console()
    if not console.is_terminal:
        console = Console(width=PLAIN_WIDTH)
    table = Table(box=None, pad_edge=False)
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(cell(value) for value in row))
    console.print(table, markup=False)


def cell(value: Any) -> str:
    """Return a value as the text of a cell."""
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple):
        return ", ".join(cell(item) for item in value) or "-"
    if isinstance(value, Resources):
        return (
            f"{value.cpu_millis / 1000:g} cpu, {value.memory_mib} MiB, "
            f"{value.accelerators} acc"
        )
    return str(getattr(value, "value", value))


def show(items: Sequence[msgspec.Struct], as_json: bool, answer: object = None) -> None:
    """Print structs as a table with a column for each field, or as JSON."""
    if as_json:
        print_json(items if answer is None else answer)
    elif not items:
        typer.echo("none")
    else:
        names = [field.name for field in msgspec.structs.fields(items[0])]
        rows = [[getattr(item, name) for name in names] for item in items]
        print_table(names, rows)
