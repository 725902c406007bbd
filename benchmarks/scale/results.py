"""What a run has shown: figures, checks, and the files that are kept of it."""

from __future__ import annotations

import json
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Any

from benchmarks.scale.budget import GB
from benchmarks.scale.referee import Accepted, Delay, Referee

if TYPE_CHECKING:
    from benchmarks.scale.run import Phase, Run

AIM_MS, MOST_MS = 1_000.0, 6_000.0
MOST_NODE_BYTES = 3_000.0  # a second
MOST_NODE_CPU = 0.012  # of a core
MOST_NODE_MEMORY = 64 << 20
SLOWEST = 10  # changes that are told one by one
ROUTES_HELD = "not held: hollow nodes match no paths; a node's part is its services' routes"
TENANTS_HELD = "in the Settings of each service's Balancer, which one process's nodes share"


def result_of(run: Run, referee: Referee, stopped: str) -> dict[str, Any]:
    """The run's one JSON object."""
    options = run.options
    accepted = run.driver.accepted if run.driver else []
    until = time.monotonic_ns()
    delays = [referee.delay(change, until) for change in accepted]
    verdict = referee.verdict
    phases = [phase for phase in run.phases if phase.ended]
    in_force = {phase.name: times(inside(delays, phase)) for phase in run.phases}
    in_force["whole run"] = times(delays)
    node = node_figures(run, phases)
    checks = [*run.checks, *checks_of(run, referee, delays, in_force["whole run"], node)]
    sizes = options.sizes
    return {
        "benchmark": "scale run",
        "ok": not stopped and all(check["ok"] for check in checks),
        "stopped": stopped,
        "reached": [phase.name for phase in phases],
        "sizes": {name: getattr(sizes, name) for name in type(sizes).__slots__},
        "seed": options.seed,
        "everything_everywhere": options.every,
        "multiple": {"changes": options.multiple, "failures": options.failures},
        "hollow": {
            "processes": len(run.hosts), "cycles_stretched_by": options.stretch,
            "hold_s": options.hold, "routes": ROUTES_HELD, "tenants": TENANTS_HELD,
            "idle_loops": round(sum(host.idle for host in run.hosts), 4),
        },
        "changes_accepted": len(accepted),
        "driver": dict(run.driver.counts) if run.driver else {},
        "in_force": in_force,
        "slowest": [slow(run, delay) for delay in slowest(delays)],
        "node": node,
        "control": {phase.name: control_figures(phase) for phase in phases},
        "snapshots_by_second": run.seconds,
        "notes": run.notes,
        "referee": {
            "steps": verdict.steps, "digests_checked": verdict.checked,
            "faults": dict(verdict.counts), "first": verdict.faults, "kinds": dict(referee.kinds),
        },
        "budget": {
            "memory_gb": round(run.budget.most_memory / GB, 2),
            "processes": run.budget.most_processes,
        },
        "checks": checks,
    }  # fmt: skip


def inside(delays: list[Delay], phase: Phase) -> list[Delay]:
    """Of the changes accepted in a phase."""
    end = phase.ended or 1 << 63
    return [delay for delay in delays if phase.began <= delay.change.at < end]


def times(delays: list[Delay]) -> dict[str, Any]:
    """Accepted to in force at each node that holds it, and handed in to accepted."""
    found = sorted(delay.most / 1e6 for delay in delays if delay.nodes)
    waited = sorted((one.change.at - one.change.handed_in) / 1e6 for one in delays)
    return {
        "changes": len(delays),
        "nodes": sum(delay.nodes for delay in delays),
        "never": sum(delay.missing for delay in delays),
        "p50_ms": part(found, 0.50),
        "p99_ms": part(found, 0.99),
        "most_ms": part(found, 1.0),
        "to_accepted_p99_ms": part(waited, 0.99),
    }


def slowest(delays: list[Delay]) -> list[Delay]:
    """The changes that took longest."""
    return sorted(delays, key=lambda delay: -delay.most)[:SLOWEST]


def slow(run: Run, delay: Delay) -> dict[str, Any]:
    """One of them: what, when, where."""
    began = run.phases[0].began
    return {
        "service": delay.change.service,
        "region": delay.change.region,
        "revision": delay.change.revision,
        "accepted_s": round((delay.change.at - began) / 1e9, 3),
        "took_ms": round(delay.most / 1e6, 1),
        "node": run.world.nodes[delay.last].name if delay.last >= 0 else "",
    }


def part(values: list[float], quantile: float) -> float:
    """The value that so large a part of them does not exceed; 0 of none."""
    if not values:
        return 0.0
    return round(values[min(int(len(values) * quantile), len(values) - 1)], 2)


def node_figures(run: Run, phases: list[Phase]) -> dict[str, Any]:
    """Bytes, processor time and memory for control of one hollow node, by phase."""
    steady = [phase for phase in phases if phase.name not in ("cold start",)]
    spent = {phase.name: node_phase(run, phase) for phase in steady}
    lone = run.hosts[0]
    shared = [host for host in run.hosts[1:] if host.last and host.empty]
    nodes = sum(len(host.nodes) for host in shared)
    grown = sum(host.last["rss"] - host.empty["rss"] for host in shared)
    lasts = [host.last for host in run.hosts if host.last]
    return {
        "by_phase": spent,
        "bytes_s": mean_bytes(run, steady),
        "worst_minute_bytes_s": round(max((r["worst_bytes"] for r in lasts), default=0.0), 1),
        "worst_minute_of_a_running_node_bytes_s": round(
            max((r["worst_warm_bytes"] for r in lasts), default=0.0), 1
        ),
        "memory_shared_process_bytes": round(grown / nodes) if nodes else 0,
        "memory_lone_process_bytes": lone.last["rss"] - lone.empty["rss"] if lone.last else 0,
        "services": round(sum(r["services"] for r in lasts) / max(1, len(run.world.nodes)), 2),
        "rows": round(sum(r["rows"] for r in lasts) / max(1, len(run.world.nodes)), 1),
        "loop_late_most_s": round(max((r["behind_s"] for r in lasts), default=0.0), 3),
    }


def mean_bytes(run: Run, phases: list[Phase]) -> float:
    """Of all nodes from the first of these phases' beginning to the last one's end."""
    if not phases:
        return 0.0
    before, after = phases[0].hosts[0], phases[-1].hosts[1]
    seconds = (phases[-1].ended - phases[0].began) / 1e9
    grown: float = sum(
        after[name]["sent"] + after[name]["received"] - row["sent"] - row["received"]
        for name, row in before.items()
    )
    return round(grown / len(run.world.nodes) / seconds, 1)


def node_phase(run: Run, phase: Phase) -> dict[str, Any]:
    """One phase's mean of all nodes. The Balancers' cycles are told apart: see `stretch`."""
    before, after = phase.hosts
    nodes = len(run.world.nodes)
    seconds = (phase.ended - phase.began) / 1e9
    sums = {
        key: sum(after[name][key] - before[name][key] for name in after)
        for key in ("cpu_s", "sent", "received")
    }
    cycles = sum(_count(after[name]) - _count(before[name]) for name in after) / 1e9
    idle = sum(host.idle for host in run.hosts) * seconds
    control = max(sums["cpu_s"] - cycles - idle, 0.0)
    return {
        "bytes_s": round((sums["sent"] + sums["received"]) / nodes / seconds, 1),
        "received_s": round(sums["received"] / nodes / seconds, 1),
        "events": events_between(before, after),
        "cpu_control": round(control / nodes / seconds, 6),
        "cpu_with_cycles": round((control + cycles * run.options.stretch) / nodes / seconds, 6),
    }


def events_between(before: dict[str, Any], after: dict[str, Any]) -> dict[str, int]:
    """What all subscribers did in between."""
    total: Counter[str] = Counter()
    for name, row in after.items():
        total.update(row["events"])
        total.subtract(before[name]["events"])
    return {event: count for event, count in sorted(total.items()) if count}


def _count(status: dict[str, Any]) -> float:
    found: float = status["counts"].get("cycles_cpu_ns", 0)
    return found


def control_figures(phase: Phase) -> dict[str, Any]:
    """A control machine's use in a phase: of the busiest, of those that lived through it."""
    before, after = phase.controls
    seconds = (phase.ended - phase.began) / 1e9
    rows = [
        (before[name], after[name])
        for name in after
        if name in before and after[name]["cpu_seconds"] >= before[name]["cpu_seconds"]
    ]
    cpu = [(b["cpu_seconds"] - a["cpu_seconds"]) / seconds for a, b in rows]
    sent = [(_bytes(b) - _bytes(a)) / seconds for a, b in rows]
    return {
        "alive": phase.alive,
        "seconds": round(seconds, 1),
        "cpu_most": round(max(cpu, default=0.0), 4),
        "cpu_mean": round(sum(cpu) / max(1, len(cpu)), 4),
        "memory_most_mb": round(max((b["memory_bytes"] for _, b in rows), default=0) / 1e6, 1),
        "sent_most_bytes_s": round(max(sent, default=0.0)),
    }


def _bytes(status: dict[str, Any]) -> float:
    counts = status["counts"]
    found: float = counts["questions"].get("bytes", 0) + counts["streams"].get("sent bytes", 0)
    return found


def checks_of(
    run: Run, referee: Referee, delays: list[Delay], whole: dict[str, Any], node: dict[str, Any]
) -> list[dict[str, Any]]:
    """Each assertion with what was measured."""
    verdict = referee.verdict
    missing = [delay.change for delay in delays if delay.missing]
    probes = sum(host.last.get("fault_count", 0) for host in run.hosts)
    faults = [fault for host in run.hosts for fault in host.last.get("faults", [])]
    cpu = [row["cpu_control"] for row in node["by_phase"].values()]
    memory = node["memory_lone_process_bytes"]
    return [
        check("steps were judged", verdict.checked > 0, f"{verdict.checked} digests"),
        check("no node went back", not verdict.counts["went back"],
              _first(verdict.faults, "went back")),
        check("no node holds half a change or another", not verdict.counts["not as accepted"],
              _first(verdict.faults, "not as accepted")),
        check("no probe to a drained backend", probes == 0, _first(faults)),
        check("changes were accepted", bool(delays), f"{len(delays)}"),
        check("each change came into force everywhere", not missing, _changes(missing)),
        check("in force within 6 s", whole["most_ms"] <= MOST_MS, f"{whole['most_ms']} ms"),
        check("a node's bytes a second, mean", node["bytes_s"] <= MOST_NODE_BYTES,
              f"{node['bytes_s']}"),
        check("a node's bytes a second, any node's worst minute",
              node["worst_minute_bytes_s"] <= MOST_NODE_BYTES, f"{node['worst_minute_bytes_s']}"),
        check("a node's processor time", max(cpu, default=0.0) <= MOST_NODE_CPU,
              f"{max(cpu, default=0.0)} of a core"),
        check("a node's memory", memory <= MOST_NODE_MEMORY, f"{memory} bytes"),
    ]  # fmt: skip


def check(name: str, fine: bool, detail: str) -> dict[str, Any]:
    """One assertion."""
    return {"check": name, "ok": fine, "detail": detail}


def _first(texts: list[str], kind: str = "") -> str:
    """The first text of a kind, empty where there is none."""
    return next((text for text in texts if text.startswith(kind)), "")


def _changes(missing: list[Accepted]) -> str:
    return ", ".join(f"{one.service}@{one.revision}" for one in missing[:5])


# ---- files ----------------------------------------------------------------------


def write(result: dict[str, Any], folder: Path, name: str) -> None:
    """The JSON, a table and the charts."""
    from benchmarks.scale.chart import draw

    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"{name}.json").write_text(json.dumps(result, indent=1) + "\n")
    (folder / f"{name}.md").write_text(table(result))
    draw(result, folder, name)


def table(result: dict[str, Any]) -> str:
    """Tables in Markdown."""
    sizes = ", ".join(f"{value:,} {name}" for name, value in result["sizes"].items())
    lines = [f"Sizes: {sizes}; seed {result['seed']}.", ""]
    lines += ["| phase | alive | changes | p50 ms | p99 ms | most ms | never |"]
    lines += ["| --- | --- | --- | --- | --- | --- | --- |"]
    for name, row in result["in_force"].items():
        alive = result["control"].get(name, {}).get("alive", "")
        lines.append(
            f"| {name} | {alive} | {row['changes']} | {row['p50_ms']} | {row['p99_ms']} "
            f"| {row['most_ms']} | {row['never']} |"
        )
    lines += ["", "| phase | node bytes/s | node CPU | control CPU most | control MB | sent B/s |"]
    lines += ["| --- | --- | --- | --- | --- | --- |"]
    for name, row in result["control"].items():
        node = result["node"]["by_phase"].get(name, {"bytes_s": "", "cpu_control": ""})
        lines.append(
            f"| {name} | {node['bytes_s']} | {node['cpu_control']} | {row['cpu_most']} "
            f"| {row['memory_most_mb']} | {row['sent_most_bytes_s']} |"
        )
    lines += ["", "| check | ok | measured |", "| --- | --- | --- |"]
    lines += [f"| {c['check']} | {'yes' if c['ok'] else 'NO'} | {c['detail']} |"
              for c in result["checks"]]  # fmt: skip
    return "\n".join(lines) + "\n"
