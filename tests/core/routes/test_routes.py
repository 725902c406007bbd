"""Tests route matching against a direct implementation of the documented order."""

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


def first_match_by_precedence(
    routes: list[Route], path: bytes, method: bytes, cls: bytes
) -> Route | None:
    """Reference matcher: compare all matching routes by the documented precedence."""
    segments = path[1:].split(b"/")

    def matches(r: Route) -> bool:
        own = r.pattern.segments
        enough = len(segments) >= len(own) if r.pattern.prefix else len(segments) == len(own)
        same = all(s == t or (t is None and s) for s, t in zip(segments, own, strict=False))
        return bool(enough and same and r.takes(method, cls))

    matching = sorted(
        (r for r in routes if matches(r)), key=lambda r: (r.pattern.rank(), -r.conditions())
    )
    return matching[0] if matching else None


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
def test_tree_lookup_finds_the_route_of_highest_precedence(
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
    assert found == first_match_by_precedence(routes, target, method, cls)


def test_literal_precedes_parameter_and_parameter_precedes_prefix() -> None:
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
        b"/a/b/c": "below",  # the leftmost difference decides: literal b precedes the parameter
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


def test_host_selects_the_most_specific_service() -> None:
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
def test_overlaps_and_covers_agree_with_enumerated_short_paths(
    first: list[bytes | None], p: bool, second: list[bytes | None], q: bool
) -> None:
    a, b = Pattern(tuple(first), p or not first), Pattern(tuple(second), q or not second)
    segments = [b"a", b"b", b"c", b"z"]
    paths: list[list[bytes]] = [[segment] for segment in segments]
    for _ in range(3):
        paths += [[*p, segment] for p in paths for segment in segments if len(p) < 4]

    def matches(pattern: Pattern, path: list[bytes]) -> bool:
        service = Service("s", ["*"], [route("r", *pattern.segments, prefix=pattern.prefix)])
        return service.match(b"/" + b"/".join(path), [b"", *path], b"GET", b"") is not None

    paths += [[*p, b""] for p in [[], *paths]]
    unique = {tuple(p) for p in paths}
    in_a = {p for p in unique if matches(a, list(p))}
    in_b = {p for p in unique if matches(b, list(p))}
    assert a.overlaps(b) == b.overlaps(a) == bool(in_a & in_b)
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
def test_outcome_maps_to_its_retry_condition(
    outcome: Outcome, connected: bool, expected: Condition | None
) -> None:
    assert condition(outcome, connected) == expected


# ---- generated routes files --------------------------------------------

POLICY_LINES = ("attempts = 3", "attempts = 1", 'attempt_timeout = "400ms"', 'timeout = "1900ms"',
         'retry_on = ["error", "refused"]', 'retry_on = ["refused"]', "attempts = 2",
         'second_copy = { after = "50ms", most = 0.1 }', 'budget = { part = 0.5, floor = 1 }',
         'backoff = { base = "1ms" }', 'repeat = "never"', 'repeat = "safe"', 'base = "balance"',
         'wanted = "3s"')  # fmt: skip
SECTIONS = ("[defaults]", "[class.balance]", "[class.credit]", "[class.topup]",
          'class = "balance"', 'class = "credit"')  # fmt: skip


@settings(max_examples=400, derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(SECTIONS), st.sampled_from(POLICY_LINES)),
        max_size=5,
        unique_by=lambda t: (t[0], t[1].split(" ")[0]),
    ),
    st.sets(st.sampled_from([line for line in GOOD.splitlines() if " = " in line]), max_size=8),
)
def test_generated_file_follows_the_rules_or_is_rejected_with_a_line(
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
                assert_policy_follows_rules(text, policy)


def assert_policy_follows_rules(text: str, policy: object) -> None:
    """Check every outcome and attempt number of a policy against `repeat` in the file."""
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
                # After FULL, CONNECT_FAILED and MOOT the endpoint has not executed the request.
                may_have_run = outcome not in (3, 5, 8)
                if repeat == "never" and granted and may_have_run:
                    raise AssertionError(f"{policy.name}: {cause} after attempt {number}")
    if repeat != "safe":
        assert policy.hedging is None
    if repeat == "never":
        assert policy.attempts in (0, 1)
    if policy.attempt_timeout and policy.timeout:
        assert policy.attempt_timeout <= policy.timeout


def test_prefix_matches_complete_segments_only() -> None:
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
