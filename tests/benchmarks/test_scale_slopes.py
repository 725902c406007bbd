"""Lines through measured costs, and the model of shared backends, on figures known beforehand."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from random import Random

import pytest

from benchmarks.scale.fit import FitError, Point, Slope, fit, from_json
from benchmarks.scale.sharing import (
    MAX_NODES,
    Pool,
    Use,
    erlang_b,
    erlang_c,
    max_nodes,
    meets_busy_part,
    new_connection_part,
    ordered_hunt_part,
    waits_for_slot_part,
)

POOL = Pool(
    nodes=4, backends=27, rate=7.0, work_s=0.1, connections=15, idle_s=13.0, slots=4.0
)  # fmt: skip


def line(*values: tuple[float, float]) -> Slope:
    return fit("memory", "bytes", "row", [Point(size, v, v, v) for size, v in values])


# ---- the fit -----------------------------------------------------------


def test_points_on_a_line_give_it_back_and_no_residual() -> None:
    found = line((300, 1600), (100, 600), (200, 1100))
    assert found.per_item == pytest.approx(5.0)
    assert found.fixed == pytest.approx(100.0)
    assert found.residual == pytest.approx(0.0, abs=1e-12)
    assert found.r2 == pytest.approx(1.0)
    assert found.sizes == (100, 200, 300)
    assert found.straight


def test_the_line_is_multiplied_out_to_another_size() -> None:
    found = line((100, 600), (200, 1100), (300, 1600))
    assert found.at(120_000) == pytest.approx(600_100)
    assert found.beyond(120_000) == pytest.approx(400)


def test_no_cost_is_under_nothing() -> None:
    assert line((100, 100), (200, 300), (300, 500)).at(10) == 0.0


def test_a_bent_cost_is_not_called_straight() -> None:
    found = line((100, 100), (200, 400), (400, 1600))
    assert found.residual > 0.5
    assert not found.straight


def test_the_residual_is_the_worst_points_distance_as_part_of_its_value() -> None:
    # By hand: slope 1, intercept 1/3; the points lie 1/3, 2/3 and 1/3 off.
    found = line((1, 1), (2, 3), (3, 3))
    assert found.residual == pytest.approx(max((1 / 3) / 1, (2 / 3) / 3, (1 / 3) / 3))
    assert found.r2 == pytest.approx(0.75)


def test_a_point_of_no_cost_is_held_against_the_largest() -> None:
    # By hand: slope 0.5, intercept -1/3; the first point lies 1/6 off, the largest is 1.
    found = line((1, 0), (2, 1), (3, 1))
    assert found.residual == pytest.approx(1 / 3)


@pytest.mark.parametrize("sizes", [(), (1, 2), (1, 1, 2)])
def test_under_three_sizes_there_is_no_line(sizes: tuple[float, ...]) -> None:
    with pytest.raises(FitError, match="memory: a line needs 3 sizes"):
        line(*((size, size) for size in sizes))


def test_a_slope_is_written_and_read_back() -> None:
    found = line((100, 600), (200, 1100), (300, 1700))
    assert from_json(found.as_json()) == found


def test_a_slope_that_lacks_a_word_is_refused() -> None:
    raw = line((100, 600), (200, 1100), (300, 1700)).as_json()
    del raw["unit"]
    with pytest.raises(FitError, match="unit"):
        from_json(raw)


# ---- nodes that share backends ------------------------------------------


def test_erlangs_formulas_give_tabled_values() -> None:
    assert erlang_b(1, 0.5) == pytest.approx(1 / 3)
    assert erlang_b(10, 5.0) == pytest.approx(0.0184, abs=1e-4)
    assert erlang_c(1, 0.6) == pytest.approx(0.6)
    assert erlang_c(10, 8.0) == pytest.approx(0.4092, abs=1e-4)
    assert erlang_c(3, 3.0) == 1.0


def test_a_connection_that_is_never_closed_is_only_ever_busy() -> None:
    assert ordered_hunt_part(1, 7.0, 0.1, 1e9) == pytest.approx(erlang_b(1, 0.7))
    assert ordered_hunt_part(3, 7.0, 0.1, 1e9) == pytest.approx(erlang_b(3, 0.7), rel=1e-6)


def test_a_connection_closed_at_once_is_never_found() -> None:
    assert ordered_hunt_part(3, 7.0, 0.1, 0.0) == pytest.approx(1.0)


def simulated(rate: float, work_s: float, idle_s: float, connections: int) -> float:
    """The part of 200,000 requests that find no open free connection, tried in order."""
    random = Random(1)
    now, opened = 0.0, 0
    free_at = [0.0] * connections
    for _ in range(200_000):
        now += random.expovariate(rate)
        place = next((i for i, at in enumerate(free_at) if at <= now), -1)
        if place < 0:
            opened += 1  # one beyond what is kept: it is closed again with its answer
            continue
        opened += free_at[place] == 0.0 or now - free_at[place] > idle_s
        free_at[place] = now + random.expovariate(1 / work_s)
    return opened / 200_000


@pytest.mark.parametrize(("rate", "idle_s"), [(0.5, 13.0), (0.2, 13.0), (7.0, 1e9), (3.0, 1.0)])
def test_the_model_is_near_a_played_queue(rate: float, idle_s: float) -> None:
    assert ordered_hunt_part(2, rate, 0.1, idle_s) == pytest.approx(
        simulated(rate, 0.1, idle_s, 2), rel=0.15, abs=0.003
    )


def test_a_backend_takes_no_more_nodes_than_connections() -> None:
    many = replace(POOL, nodes=16)
    assert new_connection_part(many, Use.GIVEN) == 1.0
    assert new_connection_part(many, Use.LEAST_REQUESTS) == 1.0
    assert new_connection_part(many, Use.ALLOCATED) < 0.01


def test_more_nodes_find_connections_closed_more_often() -> None:
    parts = [new_connection_part(replace(POOL, nodes=n), Use.LEAST_REQUESTS) for n in (4, 8, 15)]
    assert parts == sorted(parts)
    assert parts[0] < parts[-1]


def test_a_fixed_backend_finds_its_one_connection_busy() -> None:
    # 15 nodes, one connection each, 7/15 requests a second. The others' load of 0.7 x 14/15
    # makes 0.1 s of work 0.288 s at the backend; one that is closed was free for 13 s.
    part = new_connection_part(replace(POOL, nodes=15), Use.GIVEN)
    assert part == pytest.approx(0.1186 + (1 - 0.1186) * 0.0023, abs=2e-4)


def test_one_node_alone_waits_for_no_other() -> None:
    assert replace(POOL, nodes=1).occupied_s == pytest.approx(0.1)
    assert new_connection_part(replace(POOL, nodes=1), Use.LEAST_REQUESTS) < 1e-6


def test_backends_with_too_much_to_do_are_always_busy() -> None:
    over = replace(POOL, nodes=10, work_s=0.2)
    assert new_connection_part(over, Use.GIVEN) == 1.0
    assert waits_for_slot_part(over) == 1.0
    assert meets_busy_part(over) == 1.0


def test_few_slots_a_node_are_waited_for() -> None:
    parts = [waits_for_slot_part(replace(POOL, nodes=n)) for n in (4, 18, 36)]
    assert parts[0] < 0.001
    assert parts == sorted(parts)
    # By hand: 3 slots, 18.9 / 36 Erlang of work made 0.313 s long by the others' load.
    assert parts[2] == pytest.approx(0.2906, abs=1e-3)
    assert waits_for_slot_part(replace(POOL, nodes=200)) == 1.0


def test_only_one_node_alone_knows_which_backend_is_free() -> None:
    assert meets_busy_part(replace(POOL, nodes=1)) == pytest.approx(erlang_c(27, 18.9))
    assert meets_busy_part(replace(POOL, nodes=2)) == pytest.approx(0.35)
    assert meets_busy_part(replace(POOL, nodes=100)) == pytest.approx(0.693)


def test_the_most_nodes_are_the_last_that_hold() -> None:
    part = partial(new_connection_part, use=Use.LEAST_REQUESTS)
    found = max_nodes(POOL, part, 0.002)
    assert part(replace(POOL, nodes=found)) <= 0.002 < part(replace(POOL, nodes=found + 1))
    assert max_nodes(POOL, lambda _pool: 1.0, 0.5) == 0
    assert max_nodes(POOL, lambda _pool: 0.0, 0.5) == MAX_NODES
