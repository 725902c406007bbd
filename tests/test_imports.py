"""What imports what: no cycles, types included, and nothing in `core` imports outward."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter

from tests.harness import ROOT


def imports() -> dict[str, set[str]]:
    """Each module of the product, and which others of it its source names."""
    paths = (ROOT / "loadbalancer").rglob("*.py")
    names = {".".join(p.relative_to(ROOT).with_suffix("").parts): p for p in paths}
    graph: dict[str, set[str]] = {}
    for name, path in names.items():
        found = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                found |= {node.module} | {f"{node.module}.{alias.name}" for alias in node.names}
        graph[name] = (found & names.keys()) - {name}
    return graph


def test_modules_form_no_circle() -> None:
    graph = imports()
    order = list(TopologicalSorter(graph).static_order())  # raises CycleError, naming the circle
    assert order.index("loadbalancer.proxy.exchange") < order.index(
        "loadbalancer.proxy.upstream.pool"
    )


def test_core_imports_nothing_outside_core() -> None:
    for name, found in imports().items():
        if name.startswith("loadbalancer.core"):
            assert not [f for f in found if not f.startswith("loadbalancer.core")], name
