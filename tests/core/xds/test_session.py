"""A proxy is consistent after every response, and at rest has what the session records."""

from __future__ import annotations

from random import Random

import pytest

from loadbalancer.core.xds.history import History
from loadbalancer.core.xds.messages import (
    ClientResourceStatus,
    DiscoveryRequest,
    Nack,
    SubscriptionError,
)
from loadbalancer.core.xds.session import Session
from loadbalancer.core.xds.snapshot import (
    EMPTY,
    ResourceType,
    Snapshot,
    make_resource,
    make_snapshot,
)
from loadbalancer.core.xds.subscription import MAX_NAMES
from tests.core.xds.protocol_proxy import (
    CLUSTER,
    ENDPOINTS,
    NACK_REASON,
    ROUTES,
    ProtocolProxy,
    snapshot_of,
)

BOTH_VARIANTS = pytest.mark.parametrize("incremental", [False, True])
BOTH_SUBSCRIPTIONS = pytest.mark.parametrize("wildcard", [False, True])


def nacks_of(session: Session) -> dict[ResourceType, Nack]:
    """The last rejection of each type that is not mended yet."""
    return {
        resource_type: subscription.nack
        for resource_type, subscription in session._subscriptions.items()
        if subscription.nack is not None
    }


def changed_in_all(snapshot: Snapshot) -> Snapshot:
    """The same references with another content of every resource."""
    return make_snapshot(
        {
            kind: [
                make_resource(resource.name, resource.body + b"!", resource.references)
                for resource in snapshot.of_type(kind).values()
            ]
            for kind in ResourceType
        }
    )


class Course:
    """A random course of changes, broken streams, restarts, ACKs and NACKs of one proxy."""

    def __init__(self, seed: int, incremental: bool, wildcard: bool) -> None:
        self.random = Random(seed)
        self.services = {"a": 1, "b": 1}
        self.snapshot = snapshot_of(self.services)
        self.proxy = ProtocolProxy(incremental, wildcard, self.snapshot)

    def step(self, number: int) -> None:
        """One event; the figures are the chances of each."""
        chance = self.random.random()
        if chance < 0.15:
            self.change(number)
        elif chance < 0.18:
            self.proxy.connect(self.snapshot)  # broken anywhere, with responses unread
        elif chance < 0.20:
            self.restart(number)
        elif self.proxy.inbox:
            self.proxy.receive(nack=self.random.random() < 0.1)

    def change(self, number: int) -> None:
        name = self.random.choice("abcdef")
        services = self.services
        if name in services and len(services) > 1 and self.random.random() < 0.5:
            del services[name]
        else:
            services[name] = services.get(name, 0) + 1
        self.snapshot = snapshot_of(services, number)
        self.proxy.update(self.snapshot)

    def restart(self, number: int) -> None:
        """The service is started again with other services, and knows nothing of before."""
        name = self.random.choice("abcdef")
        self.services = {n: v for n, v in self.services.items() if n != name} or {"z": 1}
        self.services[self.random.choice("ghi")] = number
        self.snapshot = snapshot_of(self.services, number)
        self.proxy.history = History()
        self.proxy.connect(self.snapshot)


@pytest.mark.parametrize("seed", range(60))
@BOTH_VARIANTS
@BOTH_SUBSCRIPTIONS
def test_any_course_of_changes_broken_streams_and_nacks_stays_consistent(
    seed: int, incremental: bool, wildcard: bool
) -> None:
    """After any course, a change that mends whatever was rejected brings the proxy up to date."""
    course = Course(seed, incremental, wildcard)
    proxy = course.proxy
    for number in range(120):
        course.step(number)
        assert proxy.is_consistent()
    mended = {name: version + 100 for name, version in course.services.items()}
    last = changed_in_all(snapshot_of(mended, 1000))
    proxy.update(last)
    for _ in range(200):
        if not proxy.inbox:
            break
        proxy.receive()
        assert proxy.is_consistent()
    assert not proxy.inbox
    assert proxy.session.settled()
    for kind in ResourceType:
        versions = {name: found.version for name, found in last.of_type(kind).items()}
        assert proxy.versions[kind] == versions
        assert proxy.session.acked_versions(kind) == versions


@BOTH_VARIANTS
@BOTH_SUBSCRIPTIONS
def test_a_proxy_that_is_up_to_date_is_sent_nothing(incremental: bool, wildcard: bool) -> None:
    """Also by a control service that was started again: versions follow from content."""
    proxy = ProtocolProxy(incremental, wildcard, snapshot_of({"a": 1, "b": 2}))
    proxy.receive_all()
    before = proxy.received
    proxy.update(snapshot_of({"a": 1, "b": 2}))
    assert not proxy.inbox
    proxy.connect(snapshot_of({"b": 2, "a": 1}))
    proxy.receive_all()
    sent = proxy.received - before
    # Of clusters and listeners nothing. In the state of the world one version can't say which
    # endpoints and routes were unsubscribed and subscribed to again: each is sent once more.
    assert sent <= (0 if incremental else 2)


@BOTH_VARIANTS
def test_a_nacked_resource_is_not_sent_again_until_it_changes(incremental: bool) -> None:
    proxy = ProtocolProxy(incremental, True, snapshot_of({"a": 1}))
    while proxy.inbox:
        proxy.receive(nack=proxy.inbox[0].resource_type is ROUTES)
    assert "r" not in proxy.versions[ROUTES]
    nack = nacks_of(proxy.session)[ROUTES]
    assert nack.error_detail == NACK_REASON
    assert set(nack.versions) == {"r"}
    assert not proxy.session.update(snapshot_of({"a": 1}))
    proxy.update(snapshot_of({"a": 1, "b": 1}))
    proxy.receive_all()
    assert "r" in proxy.versions[ROUTES]
    assert not nacks_of(proxy.session)


def test_each_resource_has_the_status_of_the_proxys_last_answer() -> None:
    proxy = ProtocolProxy(True, True, snapshot_of({"a": 1, "b": 1}))

    def statuses() -> set[ClientResourceStatus]:
        return {row.client_status for row in proxy.session.status()}

    assert statuses() == {ClientResourceStatus.REQUESTED}
    proxy.receive_all()
    assert statuses() == {ClientResourceStatus.ACKED}
    snapshot = snapshot_of({"a": 1, "b": 2})
    proxy.update(snapshot)
    while proxy.inbox:
        proxy.receive(nack=proxy.inbox[0].resource_type is CLUSTER)
    rows = {(row.resource_type, row.name): row for row in proxy.session.status()}
    nacked = rows.pop((CLUSTER, "c-b"))
    assert nacked.client_status is ClientResourceStatus.NACKED
    assert nacked.error_detail == NACK_REASON
    assert nacked.version == snapshot.of_type(CLUSTER)["c-b"].version
    assert {row.client_status for row in rows.values()} == {ClientResourceStatus.ACKED}
    proxy.subscribe(ENDPOINTS, {*proxy.names[ENDPOINTS], "e-x"})
    assert proxy.inbox[0].removed_resources == ("e-x",)
    absent = next(row for row in proxy.session.status() if row.name == "e-x")
    assert absent.client_status is ClientResourceStatus.DOES_NOT_EXIST


def test_of_three_changed_resources_only_the_nacked_one_is_omitted() -> None:
    proxy = ProtocolProxy(True, True, snapshot_of({"a": 1, "b": 1, "c": 1}))
    proxy.receive_all()
    snapshot = snapshot_of({"a": 2, "b": 2, "c": 2})
    clusters = snapshot.of_type(CLUSTER)
    bad = clusters["c-b"].version
    proxy.update(snapshot)
    for _ in range(50):
        if not proxy.inbox:
            break
        proxy.receive(nack=any(found.version == bad for found in proxy.inbox[0].resources))
    assert not proxy.inbox
    has = proxy.versions[CLUSTER]
    assert {n for n, found in clusters.items() if has[n] == found.version} == {"c-a", "c-c"}
    assert nacks_of(proxy.session)[CLUSTER].versions == {"c-b": bad}


def test_a_slow_proxy_has_one_pending_response_of_a_type_and_then_the_newest() -> None:
    proxy = ProtocolProxy(True, True, snapshot_of({"a": 1}))
    proxy.receive_all()
    for revision in range(1, 50):
        proxy.update(snapshot_of({"a": 1}, revision))
    assert len(proxy.inbox) == 1
    proxy.receive()
    assert len(proxy.inbox) == 1
    proxy.receive()
    assert not proxy.inbox
    newest = snapshot_of({"a": 1}, 49).of_type(ENDPOINTS)["e-a"].version
    assert proxy.versions[ENDPOINTS]["e-a"] == newest


@BOTH_VARIANTS
def test_stale_and_invented_nonces_answer_nothing(incremental: bool) -> None:
    session = Session(incremental, snapshot_of({"a": 1}))
    (response,) = session.request(DiscoveryRequest(CLUSTER))
    for nonce in ("0", "999", "x"):
        answer = DiscoveryRequest(CLUSTER, response_nonce=nonce, error_detail="no")
        assert not session.request(answer)
    assert not nacks_of(session)
    assert not session.acked_versions(CLUSTER)
    session.request(DiscoveryRequest(CLUSTER, response_nonce=response.nonce))
    assert session.acked_versions(CLUSTER).keys() == {"c-a"}
    late = DiscoveryRequest(CLUSTER, response_nonce=response.nonce, error_detail="no")
    session.request(late)
    assert not nacks_of(session)  # answered already


@BOTH_VARIANTS
def test_only_incremental_requests_take_names_with_an_older_nonce(incremental: bool) -> None:
    """A request that answers an older response comes after the newest one was sent. In the state of
    the world it names all that the proxy subscribed to then: taken, it would take back what was
    added since, until the proxy answers. An incremental one names what is added now.
    """
    session = Session(incremental, snapshot_of({"a": 1, "b": 1}))
    (first,) = session.request(DiscoveryRequest(CLUSTER, ("c-a",)))
    names = ("c-b",) if incremental else ("c-a", "c-b")
    (second,) = session.request(DiscoveryRequest(CLUSTER, names, response_nonce=first.nonce))
    late = ("c-z",)
    assert not session.request(DiscoveryRequest(CLUSTER, late, response_nonce=first.nonce))
    session.request(DiscoveryRequest(CLUSTER, names, response_nonce=second.nonce))
    assert session.acked_versions(CLUSTER).keys() == {"c-a", "c-b"}
    names_now = session._subscriptions[CLUSTER].resource_names
    assert names_now == {"c-a", "c-b"} | ({"c-z"} if incremental else set())


def test_a_name_that_does_not_exist_is_reported_as_removed() -> None:
    (response,) = Session(True, EMPTY).request(DiscoveryRequest(ENDPOINTS, ("e-x",)))
    assert response.removed_resources == ("e-x",)
    assert not response.resources
    (response,) = Session(False, EMPTY).request(DiscoveryRequest(CLUSTER, ("c-x",)))
    assert not response.resources  # the full state: it lacks the name
    assert not Session(False, EMPTY).request(DiscoveryRequest(ENDPOINTS, ("e-x",)))


NAMES_BEYOND_BOUND = tuple(f"e-{i}" for i in range(MAX_NAMES + 1))


@pytest.mark.parametrize(
    ("incremental", "request_"),
    [
        (True, DiscoveryRequest(ENDPOINTS, NAMES_BEYOND_BOUND)),
        (False, DiscoveryRequest(ENDPOINTS, ("x" * 600,))),
        (
            True,
            DiscoveryRequest(
                CLUSTER, initial_resource_versions=dict.fromkeys(NAMES_BEYOND_BOUND, "1")
            ),
        ),
    ],
    ids=["names", "a name's length", "initial versions"],
)
def test_subscriptions_are_bounded(incremental: bool, request_: DiscoveryRequest) -> None:
    session = Session(incremental)
    with pytest.raises(SubscriptionError):
        session.request(request_)


# ---- a proxy that does not answer ----------------------------------------


def endpoints_snapshot(body: bytes) -> Snapshot:
    """One cluster whose endpoints have this content."""
    clusters = [make_resource("c", b"c", ["e"])]
    return make_snapshot({CLUSTER: clusters, ENDPOINTS: [make_resource("e", body)]})


def versions_of(*bodies: bytes) -> set[str]:
    return {make_resource("e", body).version for body in bodies}


def unresponsive_session(incremental: bool) -> Session:
    """The proxy has acknowledged a first set of endpoints, and does not answer the second."""
    session = Session(incremental, endpoints_snapshot(b"first"))
    (response,) = session.request(DiscoveryRequest(ENDPOINTS, ("e",)))
    session.request(
        DiscoveryRequest(
            ENDPOINTS,
            ("e",),
            response_nonce=response.nonce,
            version_info=response.version_info,
        )
    )
    assert session.update(endpoints_snapshot(b"second"))
    return session


@BOTH_VARIANTS
def test_a_drain_does_not_wait_for_an_answer(incremental: bool) -> None:
    """A proxy owes the answer to a first change when a drain comes, and must learn of it.

    Until it acknowledges the drain, every version that it was sent may be in use.
    """
    session = unresponsive_session(incremental)

    def possible() -> set[str]:
        return session.possible_versions(ENDPOINTS)["e"]

    assert session.update(endpoints_snapshot(b"drain")) == []
    assert possible() == versions_of(b"first", b"second")
    (response,) = session.push_endpoints()
    assert [resource.body for resource in response.resources] == [b"drain"]
    assert possible() >= versions_of(b"first", b"second", b"drain")
    names = () if incremental else ("e",)
    # The answer to the superseded response says nothing of the newest one.
    session.request(DiscoveryRequest(ENDPOINTS, names, response_nonce="2"))
    assert len(possible()) > 1
    session.request(DiscoveryRequest(ENDPOINTS, names, response_nonce=response.nonce))
    assert possible() == versions_of(b"drain")
    assert session.settled()


def test_a_push_to_a_proxy_that_owes_no_answer_sends_nothing() -> None:
    assert Session(True, EMPTY).push_endpoints() == []


def test_a_proxy_that_nacks_a_drain_may_still_use_every_earlier_version() -> None:
    session = unresponsive_session(True)
    session.update(endpoints_snapshot(b"drain"))
    (response,) = session.push_endpoints()
    session.request(DiscoveryRequest(ENDPOINTS, response_nonce=response.nonce, error_detail="no"))
    assert session.possible_versions(ENDPOINTS)["e"] >= versions_of(b"first", b"second")


def test_superseded_versions_are_bounded() -> None:
    session = unresponsive_session(True)
    for i in range(200):
        session.update(endpoints_snapshot(b"%d" % i))
        assert session.push_endpoints()
    possible = session.possible_versions(ENDPOINTS)["e"]
    assert "" in possible
    assert len(possible) < 20
