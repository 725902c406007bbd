"""A drain's report names every proxy that may still send, and nobody else."""

from __future__ import annotations

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.xds.drains import MAX_VERSIONS, Drains, Holding
from loadbalancer.core.xds.pacing import Pacing
from loadbalancer.core.xds.snapshot import EMPTY, Kind, Request, Session, picture, resource

GROUP = ("envoy", "east")


def drain() -> Drains:
    out = Drains()
    out.published(GROUP, "both", frozenset({1, 2}))
    assert out.listed(0, [2], 2 * SECOND) == [2]
    out.published(GROUP, "one", frozenset({1}))
    return out


def test_the_report_comes_within_the_grace_less_a_margin_and_names_the_late() -> None:
    out = drain()
    rows = [
        Holding("p1", GROUP, "one"), Holding("p2", GROUP, "both"), Holding("p2", GROUP, "one"),
        Holding("p3", GROUP, ""), Holding("p4", ("grpc", "east"), "one"),
    ]  # fmt: skip
    assert out.over(1_500_000_000, rows) == []
    (report,) = out.over(1_600_000_000, rows)
    assert (report.backend, report.told, report.late) == (2, 1, ("p2", "p3", "p4"))
    assert out.over(9 * SECOND, rows) == []


def test_a_drain_that_is_taken_back_is_not_reported_and_counts_anew() -> None:
    out = drain()
    assert out.listed(SECOND, [], 2 * SECOND) == []
    assert out.over(9 * SECOND, [Holding("p1", GROUP, "both")]) == []
    assert out.listed(10 * SECOND, [2], 2 * SECOND) == [2]
    assert out.listed(10 * SECOND, [2], 2 * SECOND) == []


def test_a_proxy_that_comes_back_is_judged_by_what_it_holds() -> None:
    """Content and not order decides: the same set handed out again is the same."""
    out = drain()
    out.published(GROUP, "both", frozenset({1, 2}))
    assert out.late(2, [Holding("p1", GROUP, "both")]) == ["p1"]
    assert out.late(2, [Holding("p1", GROUP, "one")]) == []


def test_sets_too_old_to_be_known_count_as_late() -> None:
    out = drain()
    for i in range(MAX_VERSIONS):
        out.published(GROUP, f"v{i}", frozenset({1}))
    assert out.late(2, [Holding("p1", GROUP, "one"), Holding("p2", GROUP, "v9")]) == ["p1"]


# ---- a proxy that does not answer ----------------------------------------


def shape(body: bytes) -> object:
    return picture(
        {Kind.CLUSTER: [resource("c", b"c", ["e"])], Kind.ENDPOINTS: [resource("e", body)]}
    )


def silent(incremental: bool) -> Session:
    """It has acknowledged a first set of endpoints, and says nothing to the second."""
    session = Session(incremental, shape(b"first"))  # type: ignore[arg-type]
    (reply,) = session.request(Request(Kind.ENDPOINTS, ("e",)))
    session.request(Request(Kind.ENDPOINTS, ("e",), nonce=reply.nonce, version=reply.version))
    assert session.update(shape(b"second"))  # type: ignore[arg-type]
    return session


def versions(*bodies: bytes) -> set[str]:
    return {resource("e", body).version for body in bodies}


def test_a_drain_does_not_wait_for_an_answer() -> None:
    for incremental in (False, True):
        session = silent(incremental)
        assert session.update(shape(b"drain")) == []  # type: ignore[arg-type]
        assert session.may_hold(Kind.ENDPOINTS)["e"] == versions(b"first", b"second")
        (reply,) = session.press()
        assert [r.body for r in reply.resources] == [b"drain"]
        assert session.may_hold(Kind.ENDPOINTS)["e"] >= versions(b"first", b"second", b"drain")
        # The answer to the overtaken one says nothing of the newest.
        session.request(Request(Kind.ENDPOINTS, ("e",) if not incremental else (), nonce="2"))
        assert len(session.may_hold(Kind.ENDPOINTS)["e"]) > 1
        names = () if incremental else ("e",)
        session.request(Request(Kind.ENDPOINTS, names, nonce=reply.nonce))
        assert session.may_hold(Kind.ENDPOINTS)["e"] == versions(b"drain")
        assert session.settled()


def test_pressing_a_proxy_that_owes_no_answer_sends_nothing() -> None:
    session = Session(True, EMPTY)
    assert session.press() == []


def test_a_refused_drain_leaves_the_proxy_among_those_that_may_send() -> None:
    session = silent(True)
    session.update(shape(b"drain"))  # type: ignore[arg-type]
    (reply,) = session.press()
    session.request(Request(Kind.ENDPOINTS, nonce=reply.nonce, error="no"))
    assert session.may_hold(Kind.ENDPOINTS)["e"] >= versions(b"first", b"second")


def test_overtaken_versions_are_bounded() -> None:
    session = silent(True)
    for i in range(200):
        session.update(shape(b"%d" % i))  # type: ignore[arg-type]
        assert session.press()
    assert "" in session.may_hold(Kind.ENDPOINTS)["e"]
    assert len(session.may_hold(Kind.ENDPOINTS)["e"]) < 20


# ---- a storm of streams ---------------------------------------------------


def test_comers_after_a_burst_are_spread_and_the_last_told_to_come_again() -> None:
    pacing = Pacing(rate=100, burst=10, longest=SECOND)
    waits = [pacing.wait(10 * SECOND) for _ in range(200)]
    assert waits[:10] == [0] * 10 and waits[11] == 10_000_000 * 1
    told = [w for w in waits if w is not None]
    assert len(told) == 111 and max(told) <= SECOND and waits[150] is None
    assert pacing.wait(20 * SECOND) == 0
