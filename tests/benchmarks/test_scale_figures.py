"""The figures of a scale run: peaks of bytes, control machines' use, times in force, tables."""

from __future__ import annotations

from typing import Any

import pytest

from benchmarks.scale.accepted import AcceptedChange
from benchmarks.scale.control_figures import control_figures
from benchmarks.scale.hollow.peak_bytes import READINGS_PER_MINUTE, PeakBytes
from benchmarks.scale.measurements import Phase, Usage
from benchmarks.scale.propagation import accepted_in, propagation_times, quantile
from benchmarks.scale.referee import Delay
from benchmarks.scale.report import markdown

SECOND = 1_000_000_000
MS = 1_000_000


def delay(took_ms: int, accepted_s: int = 1, nodes: int = 2, missing: int = 0) -> Delay:
    accepted_ns = accepted_s * SECOND
    change = AcceptedChange("cart", "east", 7, accepted_ns, accepted_ns - 5 * MS)
    return Delay(change, nodes, took_ms * MS, missing, last_node=0)


# ---- peaks of bytes ---------------------------------------------------------------


def test_the_peak_is_the_growth_of_one_node_within_a_minute() -> None:
    peak = PeakBytes()
    for reading in range(2 * READINGS_PER_MINUTE):
        peak.read({"quiet": reading, "busy": 100 * reading})
    assert peak.any_node == pytest.approx(100 * READINGS_PER_MINUTE / 60)
    assert peak.running_node == peak.any_node


def test_a_restarted_node_counts_from_zero_and_not_as_running() -> None:
    peak = PeakBytes()
    peak.read({"n1": 6_000})
    peak.read({"n1": 1_200})
    assert peak.any_node == 20.0
    assert peak.running_node == 0.0


def test_a_reset_forgets_peaks_and_readings() -> None:
    peak = PeakBytes()
    peak.read({"n1": 0})
    peak.read({"n1": 600})
    peak.reset()
    peak.read({"n1": 600})
    assert (peak.any_node, peak.running_node) == (0.0, 0.0)


# ---- control machines ---------------------------------------------------------------


def status(cpu_seconds: float, sent: int) -> dict[str, Any]:
    counts = {"questions": {"bytes": sent}, "streams": {"sent bytes": 0}}
    return {"cpu_seconds": cpu_seconds, "memory_bytes": 3_000_000, "counts": counts}


def test_a_machine_that_was_restarted_in_a_phase_is_left_out_of_its_means() -> None:
    before = Usage({}, {"east-a": status(10.0, 1_000), "east-b": status(50.0, 9_000)})
    after = Usage({}, {"east-a": status(11.0, 3_000), "east-b": status(0.5, 10)})
    phase = Phase("steady", began=SECOND, before=before, ended=3 * SECOND, after=after)
    found = control_figures(phase)
    assert found.alive == 2
    assert found.cpu_most == found.cpu_mean == 0.5
    assert found.sent_most_bytes_s == 1_000


# ---- times in force -----------------------------------------------------------------


@pytest.mark.parametrize(("part", "value"), [(0.0, 1.0), (0.5, 3.0), (0.99, 4.0), (1.0, 4.0)])
def test_a_quantile_is_one_of_the_values(part: float, value: float) -> None:
    assert quantile([1.0, 2.0, 3.0, 4.0], part) == value


def test_a_quantile_of_nothing_is_zero() -> None:
    assert quantile([], 0.5) == 0.0


def test_a_change_that_no_node_holds_has_no_time_but_counts() -> None:
    found = propagation_times([delay(40), delay(0, nodes=0), delay(90, missing=1)])
    assert (found.changes, found.nodes, found.never) == (3, 4, 1)
    assert (found.p50_ms, found.most_ms, found.to_accepted_p99_ms) == (90.0, 90.0, 5.0)


def test_a_phase_that_has_not_ended_has_all_changes_since_its_beginning() -> None:
    empty = Usage({}, {})
    delays = [delay(1, accepted_s=at) for at in (1, 2, 3)]
    running = Phase("steady", began=2 * SECOND, before=empty)
    ended = Phase("steady", began=2 * SECOND, before=empty, ended=3 * SECOND)
    assert accepted_in(running, delays) == delays[1:]
    assert accepted_in(ended, delays) == delays[1:2]


# ---- tables --------------------------------------------------------------------------


def test_a_phase_without_figures_has_empty_cells() -> None:
    times = propagation_times([delay(40)]).as_json()
    control = control_figures(Phase("cold start", 0, Usage({}, {}), ended=SECOND)).as_json()
    result = {
        "sizes": {"nodes": 7_800},
        "seed": 1,
        "in_force": {"cold start": times, "whole run": times},
        "control": {"cold start": control},
        "node": {"by_phase": {}},
        "checks": [{"check": "changes were accepted", "ok": False, "detail": "0"}],
    }
    lines = markdown(result).splitlines()
    assert lines[0] == "Sizes: 7,800 nodes; seed 1."
    assert "| whole run |  | 1 | 40.0 | 40.0 | 40.0 | 0 |" in lines
    assert "| cold start |  |  | 0.0 | 0.0 | 0 |" in lines
    assert lines[-1] == "| changes were accepted | NO | 0 |"
