"""The capacity page: what slopes come to at the target, and that page and slopes agree."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import pytest

from benchmarks.scale import lists, meter, page, record
from benchmarks.scale.__main__ import main as scale
from benchmarks.scale.capacity import edges, tables
from benchmarks.scale.capacity.load import Load
from benchmarks.scale.capacity.row import (
    Mechanism,
    MissingSlopeError,
    Role,
    Row,
    Situation,
    Slopes,
    Standing,
    Unit,
    by_ratio,
)
from benchmarks.scale.capacity.target import Range, Target, zipf_largest
from benchmarks.scale.fit import Point, Slope, fit
from benchmarks.scale.page import PageError, filled
from benchmarks.scale.slopes import MEASUREMENTS
from tests.harness import ROOT

MEASURED = ROOT / record.FILE
SMALL = Target(nodes=80, backends=1_000, services=100, zones=4)


def slope(name: str, per_item: float, fixed: float = 0.0) -> Slope:
    points = [Point(n, fixed + per_item * n, 0.0, 0.0) for n in (1, 2, 3)]
    return fit(name, "us", "row", points)


def row(value: Range, allowed: float | None, resource: str = "memory") -> Row:
    return Row(
        Role.NODE, Situation.REST, resource, "slope x size", value, Unit.BYTES, allowed,
        Standing.TODAY, Mechanism("the process", "loadbalancer/proxy/host.py"),
    )  # fmt: skip


# ---- ranges and loads ---------------------------------------------------


def test_ranges_keep_their_ends_apart() -> None:
    assert Range(1, 2) + 3 * Range(2, 4) == Range(7, 14)
    assert Range(2, 4) / 2 == Range(1, 2)
    assert Range(2, 3) * Range(10, 100) == Range(20, 300)


def test_a_range_has_its_low_end_first() -> None:
    with pytest.raises(ValueError, match="no range: 2 to 1"):
        Range(2, 1)


def test_the_largest_of_a_few_by_rank() -> None:
    # 1 + 1/2 + 1/3 = 11/6.
    assert zipf_largest(11, 3) == pytest.approx(6.0)


def test_a_nodes_part_follows_its_holders() -> None:
    # 100 services, each held by 3 to 8 of a zone's 20 nodes.
    load = Load(SMALL)
    assert load.services_a_node == Range(15, 40)
    assert load.backends_a_node == Range(150, 400)
    assert load.subscribers == Range(12, 32)


def test_no_node_holds_more_tenants_than_there_are() -> None:
    load = Load(Target(nodes=4, services=10, tenants=1_000, zones=4))
    assert load.tenants_a_node.high == 1_000


def test_the_busiest_hour_may_hold_the_whole_day() -> None:
    load = Load(Target(restarts_a_day=3_600.0))
    assert load.rows_a_second_at_worst.low == pytest.approx(3_600 * 2 / 24 / 3_600)
    assert load.rows_a_second_at_worst.high == pytest.approx(3.0)


def test_the_largest_service_has_holders_by_its_part_of_requests() -> None:
    found = Load(Target()).subscribers_of_the_largest
    assert found.low == 12  # all alike: its part of 7,800 is under two nodes
    assert found.high == pytest.approx(7_800 / sum(1 / n for n in range(1, 4_501)))


# ---- rows ----------------------------------------------------------------


def test_slopes_are_multiplied_out_at_both_ends() -> None:
    slopes = Slopes({"a": slope("a", 5.0, 100.0)})
    found = slopes.at("a", Range(10, 1_000))
    assert found.low == pytest.approx(150)
    assert found.high == pytest.approx(5_100)
    assert slopes.each("a", 10).high == pytest.approx(50)


def test_a_slope_that_was_not_measured_is_named() -> None:
    with pytest.raises(MissingSlopeError, match="'b'"):
        Slopes({})["b"]


def test_the_worst_ratio_comes_first_and_the_unbounded_last() -> None:
    mild, none = row(Range(1, 2), 4, "mild"), row(Range(9, 9), None, "none")
    bad = row(Range(0, 8), 4, "bad")
    assert [r.resource for r in by_ratio([none, mild, bad])] == ["bad", "mild", "none"]
    assert bad.ratio == Range(0, 2)
    assert none.ratio is None


@pytest.mark.parametrize(
    ("value", "unit", "text"),
    [
        (49_884_000, Unit.BYTES, "49.9 MB"), (2_364, Unit.BYTES_A_SECOND, "2.36 KB/s"),
        (0.137, Unit.CORE, "13.7%"), (4_680_000, Unit.SECONDS, "54.2 days"),
        (6.0, Unit.SECONDS, "6 s"), (0.0019, Unit.SECONDS, "1.9 ms"), (600, Unit.SECONDS, "10 min"),
        (150, Unit.SECONDS, "150 s"), (4_875, Unit.A_SECOND, "4,880/s"), (0, Unit.COUNT, "0"),
    ],
)  # fmt: skip
def test_values_are_told_in_fitting_units(value: float, unit: Unit, text: str) -> None:
    assert tables.human(value, unit) == text


def test_one_figure_stands_for_a_range_that_reads_alike() -> None:
    assert tables.span(Range(1.0001, 1.0002), Unit.COUNT) == "1"
    assert tables.span(Range(1, 2), Unit.COUNT) == "1 to 2"


# ---- backends shared -------------------------------------------------------


def test_more_backends_to_choose_among_never_make_slots_scarcer() -> None:
    most = [s for s in edges.sharing(Target()) if s.part == "waits for a slot of its node"]
    easy = [s.easy for s in most]
    assert easy == sorted(easy)
    assert all(s.hard <= s.easy for s in most)


def test_a_backend_given_before_the_choice_leaves_hardly_two_nodes() -> None:
    most = [s for s in edges.sharing(Target()) if s.part == "new connection, backend given"]
    assert all(s.hard <= 2 for s in most)


# ---- the file and the page -------------------------------------------------


def run(command: str, *slopes: Slope) -> record.Run:
    return record.Run(command, "3.11", 8, 400.0, slopes)


def test_a_later_run_takes_the_place_of_older_slopes_of_its_names(tmp_path: Path) -> None:
    old = [run("first", slope("a", 1.0), slope("b", 1.0)), run("second", slope("c", 1.0))]
    found = record.merged(old, run("third", slope("a", 2.0), slope("c", 2.0)))
    assert [(r.command, [s.name for s in r.slopes]) for r in found] == [
        ("first", ["b"]), ("third", ["a", "c"]),
    ]  # fmt: skip
    path = tmp_path / "slopes.json"
    record.write(path, found)
    assert record.read(path) == found


def test_a_file_that_is_no_record_is_named(tmp_path: Path) -> None:
    path = tmp_path / "slopes.json"
    path.write_text('{"runs": [{"command": "x"}]}')
    with pytest.raises(record.RecordError, match="slopes.json"):
        record.read(path)


def test_tables_go_between_their_markers_alone() -> None:
    text = "before\n<!-- rows: begin -->\nold\n<!-- rows: end -->\nafter\n"
    new = filled(text, {"rows": "| new |"})
    assert new == "before\n<!-- rows: begin -->\n| new |\n<!-- rows: end -->\nafter\n"
    assert filled(new, {"rows": "| new |"}) == new


def test_a_table_without_its_place_is_named() -> None:
    with pytest.raises(PageError, match="'rows'"):
        filled("no place", {"rows": "x"})


def test_the_page_says_what_the_measured_slopes_come_to() -> None:
    text = (ROOT / page.PAGE).read_text()
    assert (
        filled(text, page.blocks(MEASURED)) == text
    ), "run: python -m benchmarks.scale page --write docs/CAPACITY.md"


def test_every_measured_slope_was_fitted_through_three_sizes_or_more() -> None:
    slopes = record.by_name(record.read(MEASURED)).values()
    assert slopes
    assert all(len(set(s.sizes)) >= 3 for s in slopes)


def test_the_page_names_no_module_or_test_that_is_not_there() -> None:
    slopes = Slopes(record.by_name(record.read(MEASURED)))
    for found in tables.all_rows(Target(), slopes):
        for place in found.mechanism.where.split(", "):
            if "/" in place:
                assert (ROOT / place).exists(), place


# ---- measuring -------------------------------------------------------------


def test_memory_is_what_a_build_keeps_and_the_peak_what_it_took() -> None:
    def build() -> bytes:
        passing = bytes(400_000)
        return bytes(len(passing) // 4)

    (found,) = meter.memory({100_000: build}, rounds=2)
    assert 100_000 <= found.value <= found.median <= found.most < 110_000
    assert 400_000 <= meter.peak(build) < 600_000


def test_the_least_reading_counts_and_the_others_are_kept() -> None:
    assert meter.point(5, [3.0, 1.0, 2.0]) == Point(5, 1.0, 2.0, 3.0)


def test_processor_time_is_told_a_call(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = [0]

    def taking(ns: int) -> Callable[[], None]:
        def call() -> None:
            clock[0] += ns

        return call

    monkeypatch.setattr(time, "process_time_ns", lambda: clock[0])
    small, large = meter.cpu({1: taking(20_000), 2: taking(7_000_000)}, rounds=2)
    assert (small.value, small.most, large.value) == (20.0, 20.0, 7_000.0)


def test_a_measurement_gives_slopes_with_the_quick_sizes() -> None:
    found = {s.name: s for s in MEASUREMENTS["tenants"](True)}
    assert set(found) == {"tenant.memory", "tenant.bytes"}
    assert found["tenant.memory"].per_item > 500
    assert found["tenant.memory"].straight


def test_a_file_of_so_many_services_has_the_usual_number_of_routes() -> None:
    made = lists.routes_table(3)
    assert [len(service.routes) for service in made.services] == [lists.ROUTES_PER_SERVICE] * 3


def test_quick_figures_go_into_no_file(tmp_path: Path) -> None:
    with pytest.raises(SystemExit, match="--quick"):
        scale(["slopes", "--quick", "--only", "tenants", "--out", str(tmp_path / "slopes.json")])
