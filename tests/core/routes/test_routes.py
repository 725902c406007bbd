"""Which route takes a request, against the order stated in words."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.config.toml_file import parse
from loadbalancer.core import Outcome
from loadbalancer.core.routes.file import decode
from loadbalancer.core.routes.table import (
    DEFAULT_NODE_BUDGET,
    Condition,
    Pattern,
    Route,
    Service,
    Table,
    condition,
)
from tests.routefiles import GOOD, with_changes

NONE: frozenset[bytes] = frozenset()
SEGMENTS = st.sampled_from([b"a", b"b", b"c", None])


def route(
    name: str,
    *segments: bytes | None,
    prefix: bool = False,
    methods: frozenset[bytes] = NONE,
    classes: frozenset[bytes] = NONE,
) -> Route:
    return Route(name, Pattern(segments, prefix), methods, classes, None, False, {})


def by_the_book(routes: list[Route], path: bytes, method: bytes, cls: bytes) -> Route | None:
    """Every route that fits, the most specific by the documented comparison."""
    segments = path[1:].split(b"/")

    def fits(r: Route) -> bool:
        own = r.pattern.segments
        enough = len(segments) >= len(own) if r.pattern.prefix else len(segments) == len(own)
        same = all(s == t or (t is None and s) for s, t in zip(segments, own, strict=False))
        return bool(enough and same and r.takes(method, cls))

    fitting = sorted(
        (r for r in routes if fits(r)), key=lambda r: (r.pattern.rank(), -r.conditions())
    )
    return fitting[0] if fitting else None


@settings(max_examples=400, derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.lists(SEGMENTS, max_size=4),
            st.booleans(),
            st.sampled_from([NONE, frozenset([b"GET"]), frozenset([b"POST"])]),
            st.sampled_from([NONE, frozenset([b"x"])]),
        ),
        max_size=12,
        unique_by=lambda t: (tuple(t[0]), t[1], t[2], t[3]),
    ),
    st.lists(st.sampled_from([b"a", b"b", b"c", b"d", b""]), min_size=1, max_size=5),
    st.sampled_from([b"GET", b"POST"]),
    st.sampled_from([b"x", b"y"]),
)
def test_the_tree_finds_what_the_order_says(
    rows: list[tuple[list[bytes | None], bool, frozenset[bytes], frozenset[bytes]]],
    path: list[bytes],
    method: bytes,
    cls: bytes,
) -> None:
    routes = [
        route(str(i), *segments, prefix=prefix or not segments, methods=methods, classes=classes)
        for i, (segments, prefix, methods, classes) in enumerate(rows)
    ]
    unique = {(r.pattern, r.methods, r.classes): r for r in routes}
    routes = list(unique.values())
    target = b"/" + b"/".join(path)
    found = Service("s", ["*"], routes).match(target, target.split(b"/"), method, cls)
    assert found == by_the_book(routes, target, method, cls)


def test_literals_go_before_parameters_and_these_before_a_prefix() -> None:
    routes = [
        route("prefix", b"a", prefix=True),
        route("parameter", b"a", None),
        route("literal", b"a", b"b"),
        route("longer", b"a", None, b"c"),
        route("below", b"a", b"b", prefix=True),
        route("root", prefix=True),
    ]
    Random(1).shuffle(routes)
    service = Service("s", ["*"], routes)
    for path, name in {
        b"/a/b": "literal",
        b"/a/x": "parameter",
        b"/a/b/c": "below",  # the leftmost difference decides: b before {}
        b"/a/x/c": "longer",
        b"/a/x/d": "prefix",
        b"/a": "prefix",
        b"/a/": "prefix",
        b"/ab": "root",
        b"/": "root",
    }.items():
        found = service.match(path, path.split(b"/"), b"GET", b"x")
        assert found is not None, path
        assert found.name == name, path


def test_a_host_chooses_its_service_and_no_other_is_queried() -> None:
    exact = Service("exact", ["a.b.org"], [route("r", b"x")])
    near = Service("near", ["*.b.org"], [])
    far = Service("far", ["*.org"], [])
    table = Table([far, near, exact], DEFAULT_NODE_BUDGET)
    assert table.service(b"a.b.org") is exact
    assert table.service(b"c.a.b.org") is near
    assert table.service(b"b.org") is far
    assert table.service(b"org") is None
    assert table.service(b"[::1]") is None
    catch_all = Service("rest", ["*"], [])
    table = Table([catch_all, exact], DEFAULT_NODE_BUDGET)
    assert table.service(b"org") is catch_all


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    st.lists(SEGMENTS, max_size=3),
    st.booleans(),
    st.lists(SEGMENTS, max_size=3),
    st.booleans(),
)
def test_meeting_and_covering_agree_with_all_short_paths(
    first: list[bytes | None], p: bool, second: list[bytes | None], q: bool
) -> None:
    a, b = Pattern(tuple(first), p or not first), Pattern(tuple(second), q or not second)
    segments = [b"a", b"b", b"c", b"z"]
    paths: list[list[bytes]] = [[segment] for segment in segments]
    for _ in range(3):
        paths += [[*p, segment] for p in paths for segment in segments if len(p) < 4]

    def fits(pattern: Pattern, path: list[bytes]) -> bool:
        service = Service("s", ["*"], [route("r", *pattern.segments, prefix=pattern.prefix)])
        return service.match(b"/" + b"/".join(path), [b"", *path], b"GET", b"") is not None

    paths += [[*p, b""] for p in [[], *paths]]
    unique = {tuple(p) for p in paths}
    in_a = {p for p in unique if fits(a, list(p))}
    in_b = {p for p in unique if fits(b, list(p))}
    assert a.meets(b) == b.meets(a) == bool(in_a & in_b)
    assert a.covers(b) == (in_b <= in_a)


@pytest.mark.parametrize(
    ("outcome", "connected", "expected"),
    [
        (Outcome.CONNECT_FAILED, False, Condition.CONNECT_FAILURE),
        (Outcome.CONNECT_FAILED, True, Condition.RESET_BEFORE_SENT),
        (Outcome.FULL, True, Condition.REFUSED),
        (Outcome.ERROR, True, Condition.ERROR),
        (Outcome.TIMEOUT, True, Condition.TIMEOUT),
        (Outcome.RESET, True, Condition.RESET),
        (Outcome.CANCELLED, True, None),
        (Outcome.OK, True, None),
    ],
)
def test_each_end_of_an_attempt_is_one_condition(
    outcome: Outcome, connected: bool, expected: Condition | None
) -> None:
    assert condition(outcome, connected) == expected


# ---- any generated file ------------------------------------------------

NAMES = ("attempts = 3", "attempts = 1", 'attempt_timeout = "400ms"', 'timeout = "1900ms"',
         'retry_on = ["error", "refused"]', 'retry_on = ["refused"]', "attempts = 2",
         'second_copy = { after = "50ms", most = 0.1 }', 'budget = { part = 0.5, floor = 1 }',
         'backoff = { base = "1ms" }', 'repeat = "never"', 'repeat = "safe"', 'base = "balance"',
         'wanted = "3s"')  # fmt: skip
PLACES = ("[defaults]", "[class.balance]", "[class.credit]", "[class.topup]",
          'class = "balance"', 'class = "credit"')  # fmt: skip


@settings(max_examples=400, derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(PLACES), st.sampled_from(NAMES)),
        max_size=5,
        unique_by=lambda t: (t[0], t[1].split(" ")[0]),
    ),
    st.sets(st.sampled_from([line for line in GOOD.splitlines() if " = " in line]), max_size=8),
)
def test_any_file_loads_and_keeps_the_rules_or_is_refused_at_a_line(
    added: list[tuple[str, str]], removed: set[str]
) -> None:
    text = "\n".join(x for x in GOOD.splitlines() if x not in removed or x.startswith("version"))
    for place, line in added:
        key = line.split(" ")[0]
        if place in text:
            before, _, rest = text.partition(place)
            section, mark, after = rest.partition("\n\n")
            others = "\n".join(x for x in section.split("\n") if not x.startswith(f"{key} ="))
            text = f"{before}{place}{others}\n{line}{mark}{after}"
    raw, lines = parse(text.encode())
    result = decode(raw, lines)
    if result.faults:
        count = len(text.split("\n"))
        assert all(1 <= f.line <= count for f in result.faults)
        assert result.table is None
        return
    assert result.table is not None
    for service in result.table.services:
        for one in service.routes:
            for policy in one.policies.values():
                keeps_the_rules(text, policy)


def keeps_the_rules(text: str, policy: object) -> None:
    """Every class, every way an attempt ends, every number of it, against the file's own words."""
    from loadbalancer.core.routes.table import Policy

    assert isinstance(policy, Policy)
    values, _ = parse(text.encode())
    repeat = values["class"][policy.cls]["repeat"]
    max_attempts = policy.attempts or 4
    for number in range(1, 11):
        for outcome in Outcome:
            for connected in (False, True):
                cause = condition(outcome, connected)
                granted = number < max_attempts and (
                    policy.retry_on is None or cause in policy.retry_on
                )
                may_have_run = outcome not in (3, 5, 8)
                if repeat == "never" and granted and may_have_run:
                    raise AssertionError(f"{policy.name}: {cause} after attempt {number}")
    if repeat != "safe":
        assert policy.hedging is None
    if repeat == "never":
        assert policy.attempts in (0, 1)
    if policy.attempt_timeout and policy.timeout:
        assert policy.attempt_timeout <= policy.timeout


def test_a_part_of_a_path_is_no_route_of_its_own() -> None:
    raw, lines = parse(with_changes(("deny = true", 'class = "credit"')).encode())
    table = decode(raw, lines).table
    assert table is not None
    service = table.service(b"topup.example.org")
    assert service is not None
    for path, name in {
        b"/balancer": "topup/rest",
        b"/balance": "topup/balance",
        b"/balance/x/y": "topup/balance",
        b"/creditx": "topup/rest",
    }.items():
        found = service.match(path, path.split(b"/"), b"GET", b"balance")
        assert found is not None
        assert found.name == name
