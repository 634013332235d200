from pathlib import Path
from typing import Any

import msgspec
import pytest

from gooseberrydeck_configuration import (
    CellCapacity,
    Configuration,
    Level,
    decode_configuration,
    has_errors,
    hash_secret,
    load_configuration,
    run_checks,
)
from gooseberrydeck_configuration.checks import registry
from gooseberrydeck_configuration.exceptions import ConfigurationInvalidError
from gooseberrydeck_coordination.ids import ServiceName
from gooseberrydeck_coordination.resources import Resources

EXAMPLES = Path(__file__).parents[2] / "examples"
LARGE_CELL = CellCapacity(
    Resources(768_000, 1_572_864, 0),
    {ServiceName("claim-check"): 192, ServiceName("ticket-desk"): 192},
)


def valid_document() -> dict[str, Any]:
    """Return a small valid configuration document."""
    return {
        "teams": [{"name": "radio"}, {"name": "print"}],
        "keys": [
            {"id": "radio-1", "team": "radio", "sha256": "a" * 64},
            {"id": "print-1", "team": "print", "sha256": "b" * 64},
        ],
        "shares": [
            {"team": "radio", "weight": 0.5},
            {"team": "print", "weight": 0.5},
        ],
        "limits": [
            {"team": "radio", "max_running": 10},
            {"team": "print", "max_running": 10},
        ],
        "queues": [{"name": "reviews", "policy": "batch", "teams": ["radio"]}],
        "services": [{"name": "claim-check", "teams": ["radio"]}],
    }


def decode(document: Any) -> Configuration:
    return decode_configuration(msgspec.json.encode(document), "desk.json")


def set_field(section: str, field: str, value: Any) -> Any:
    def change(document: dict[str, Any]) -> None:
        document[section][0][field] = value

    return change


def append_copy(section: str, **fields: Any) -> Any:
    def change(document: dict[str, Any]) -> None:
        document[section].append({**document[section][0], **fields})

    return change


def clear(section: str) -> Any:
    def change(document: dict[str, Any]) -> None:
        document[section] = []

    return change


def remove_first(section: str) -> Any:
    def change(document: dict[str, Any]) -> None:
        del document[section][0]

    return change


def exceed_maximum_size(document: dict[str, Any]) -> None:
    text = "x" * 100_000
    document["teams"][0]["description"] = text
    document["teams"][1]["description"] = text * 9


CHECK_FAULTS = [
    ("teams.E001", "team radio", append_copy("teams")),
    ("teams.E002", "team Radio!", append_copy("teams", name="Radio!")),
    ("teams.E003", "team radio", remove_first("limits")),
    ("teams.E004", "team radio", remove_first("shares")),
    ("teams.W001", "teams", clear("teams")),
    ("teams.W002", "team radio", remove_first("keys")),
    ("keys.E001", "key radio-1", append_copy("keys", sha256="c" * 64)),
    ("keys.E002", "key a/b", set_field("keys", "id", "a/b")),
    ("keys.E003", "key radio-1", set_field("keys", "team", "nobody")),
    ("keys.E004", "key radio-1", set_field("keys", "sha256", "A" * 64)),
    ("keys.E005", "key radio-2", append_copy("keys", id="radio-2")),
    ("shares.E001", "share radio", append_copy("shares")),
    ("shares.E002", "share nobody", set_field("shares", "team", "nobody")),
    ("shares.E003", "share radio", set_field("shares", "weight", -0.5)),
    ("shares.E004", "shares", set_field("shares", "weight", 0.6)),
    ("limits.E001", "limit radio", append_copy("limits")),
    ("limits.E002", "limit nobody", set_field("limits", "team", "nobody")),
    ("limits.E003", "limit radio", set_field("limits", "max_running", -1)),
    ("limits.E004", "limit radio", set_field("limits", "max_running", 99_999)),
    ("limits.W001", "limit radio", set_field("limits", "max_running", 0)),
    ("queues.E001", "queue reviews", append_copy("queues")),
    ("queues.E002", "queue a b", set_field("queues", "name", "a b")),
    ("queues.E003", "queue reviews", set_field("queues", "teams", ["nobody"])),
    ("queues.E004", "queue reviews", set_field("queues", "teams", [])),
    ("queues.E005", "queue reviews", set_field("queues", "open_team", "nobody")),
    ("queues.E006", "queue reviews", set_field("queues", "max_waiting", 0)),
    ("queues.E007", "queue reviews", set_field("queues", "max_attempts", -1)),
    ("queues.E008", "queue reviews", set_field("queues", "max_run_s", -1.0)),
    ("queues.E009", "queue reviews", set_field("queues", "priority", 5_000)),
    ("queues.W001", "queue reviews", set_field("queues", "teams", ["radio"] * 2)),
    ("services.E001", "service claim-check", append_copy("services")),
    ("services.E002", "service -x", set_field("services", "name", "-x")),
    ("services.E003", "service claim-check", set_field("services", "teams", ["x"])),
    ("services.E004", "service claim-check", set_field("services", "teams", [])),
    ("services.E005", "service claim-check", set_field("services", "open_team", "x")),
    ("services.E006", "service claim-check", set_field("services", "timeout_ms", 0)),
    (
        "services.E007",
        "service claim-check",
        set_field("services", "max_body_bytes", -1),
    ),
    ("services.E008", "service claim-check", set_field("services", "max_waiting", 0)),
    ("services.E009", "service claim-check", set_field("services", "retry_share", 2.0)),
    (
        "services.E010",
        "service claim-check",
        set_field("services", "objective_wait_ms", 0),
    ),
    (
        "services.E011",
        "service claim-check",
        set_field("services", "objective_share", 1.0),
    ),
    ("services.E012", "service seat-hold", set_field("services", "name", "seat-hold")),
    (
        "services.W001",
        "service claim-check",
        set_field("services", "objective_wait_ms", 20_000),
    ),
    (
        "services.W002",
        "service claim-check",
        set_field("services", "teams", ["radio"] * 2),
    ),
    ("queues.W002", "queue reviews", remove_first("keys")),
    (
        "services.W003",
        "service claim-check",
        set_field("limits", "max_running", 0),
    ),
    ("cell.E001", "configuration", exceed_maximum_size),
]

FILE_FAULTS = [
    ("files.E002", b"{", ""),
    ("files.E002", b"\xff", ""),
    ("files.E002", b"[" * 100_000, ""),
    ("files.E003", b"[]", "$"),
    ("files.E003", b'{"teams": {}}', "$.teams"),
    ("files.E003", b'{"teams": [1]}', "$.teams[0]"),
    ("files.E004", b'{"tenants": []}', "$.tenants"),
    ("files.E005", b'{"teams": [{"name": "a", "x": 1}]}', "$.teams[0].x"),
    ("files.E006", b'{"limits": [{"team": "a"}]}', "$.limits[0]"),
    ("files.E007", b'{"teams": [{"name": 3}]}', "$.teams[0].name"),
    ("files.E007", b'{"number": -1}', "$.number"),
    (
        "files.E007",
        b'{"queues": [{"name": "q", "policy": "gang", "teams": ["a", 1]}]}',
        "$.queues[0].teams[1]",
    ),
    ("files.E009", b'"' + b"x" * 5_000_000 + b'"', ""),
]


class TestChecks:
    def test_valid_configuration_has_no_problems(self) -> None:
        assert run_checks(decode(valid_document()), LARGE_CELL) == ()

    @pytest.mark.parametrize(("id", "name", "change"), CHECK_FAULTS)
    def test_fault_is_reported(self, id: str, name: str, change: Any) -> None:
        document = valid_document()
        change(document)
        problems = run_checks(decode(document), LARGE_CELL)
        found = [problem for problem in problems if problem.id == id]
        assert [problem.object for problem in found] == [name]
        assert found[0].message
        assert found[0].hint

    # Guards against a warning for an entry that one of its teams can use.
    def test_entry_that_a_team_can_use_is_reachable(self) -> None:
        document = valid_document()
        document["queues"][0]["teams"] = ["radio", "print"]
        del document["keys"][0]
        document["services"][0]["open_team"] = "radio"
        ids = {problem.id for problem in run_checks(decode(document), LARGE_CELL)}
        assert not ids & {"queues.W002", "services.W003"}

    def test_all_problems_are_listed_at_once(self) -> None:
        document = valid_document()
        for id, _, change in CHECK_FAULTS:
            if id != "teams.W001":
                change(document)
        assert len({problem.id for problem in run_checks(decode(document))}) > 20

    def test_unknown_hosts_are_a_warning(self) -> None:
        (problem,) = run_checks(decode(valid_document()))
        assert (problem.id, problem.level) == ("cell.W001", Level.WARNING)

    def test_capacity_problems_of_unchanged_objects_are_warnings(self) -> None:
        previous = decode(valid_document())
        document = valid_document()
        del document["keys"][0]
        problems = run_checks(decode(document), CellCapacity(), previous)
        ids = {problem.id for problem in problems}
        assert {"limits.E004", "services.E012"} <= ids
        assert not has_errors(problems)

    def test_every_kind_of_problem_is_covered(self) -> None:
        cases = {case[0] for case in (*CHECK_FAULTS, *FILE_FAULTS)}
        cases |= {"cell.W001", "files.E001", "files.E008"}
        assert cases == set(registry.kinds)


class TestFiles:
    @pytest.mark.parametrize(("id", "data", "path"), FILE_FAULTS)
    def test_fault_is_reported(self, id: str, data: bytes, path: str) -> None:
        with pytest.raises(ConfigurationInvalidError) as raised:
            decode_configuration(data, "desk.json")
        (problem,) = raised.value.problems
        assert (problem.id, problem.file, problem.path) == (id, "desk.json", path)

    def test_every_problem_of_every_file_is_listed(self, tmp_path: Path) -> None:
        (tmp_path / "a.json").write_text('{"teams": [{"nome": 1}, {"name": 2}]}')
        (tmp_path / "b.json").write_text("nothing")
        with pytest.raises(ConfigurationInvalidError) as raised:
            load_configuration(tmp_path)
        found = [(Path(p.file).name, p.id) for p in raised.value.problems]
        assert found == [
            ("a.json", "files.E005"),
            ("a.json", "files.E006"),
            ("a.json", "files.E007"),
            ("b.json", "files.E002"),
        ]

    @pytest.mark.parametrize(
        ("name", "id"), [("missing.json", "files.E001"), ("", "files.E008")]
    )
    def test_missing_file_and_empty_directory_are_reported(
        self, tmp_path: Path, name: str, id: str
    ) -> None:
        with pytest.raises(ConfigurationInvalidError) as raised:
            load_configuration(tmp_path / name)
        assert [problem.id for problem in raised.value.problems] == [id]

    def test_directory_is_loaded_as_one_configuration(self, tmp_path: Path) -> None:
        document = valid_document()
        for section, items in document.items():
            data = msgspec.json.encode({section: items})
            (tmp_path / f"{section}.json").write_bytes(data)
        assert load_configuration(tmp_path) == decode(document)


class TestExamples:
    @pytest.mark.parametrize("name", ["verificaciones", "consorzio"])
    def test_example_has_no_problems(self, name: str) -> None:
        configuration = load_configuration(EXAMPLES / f"{name}.json")
        assert run_checks(configuration, LARGE_CELL) == ()
        assert len(configuration.teams) == 6
        for key in configuration.keys:
            assert key.sha256 == hash_secret(f"demo-{key.team}")
