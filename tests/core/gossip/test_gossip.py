"""The rules between nodes without any link: merging, who wins, who lives, whose slots."""

from __future__ import annotations

from itertools import permutations, product
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.core.balancing.balancer import Balancer
from loadbalancer.core.balancing.model import (
    MS,
    SECOND,
    Listing,
    ReportedState,
    RequestClass,
    Settings,
    State,
    Update,
)
from loadbalancer.core.balancing.outlier_detection import eject
from loadbalancer.core.gossip.balancer_bridge import BalancerBridge, BalancerUpdate
from loadbalancer.core.gossip.dissemination import DisseminationQueue
from loadbalancer.core.gossip.gossip_node import (
    DIGEST_SIZE,
    MESSAGE_HEAD,
    RECORD_SIZES,
    Fleet,
    Terms,
)
from loadbalancer.core.gossip.membership import DOUBTED_FOR, ISOLATED_AFTER, Members
from loadbalancer.core.gossip.messages import (
    Kind,
    Life,
    Listed,
    Message,
    Observation,
    Record,
    Standing,
    sound,
)
from loadbalancer.core.gossip.records import KEEP_OBSERVATION, Beliefs
from loadbalancer.core.gossip.slot_leases import SLACK, SPAN, SlotLeases
from loadbalancer.core.gossip.slots import Slots
from loadbalancer.gossip_transport.codec import BadMessageError, decode, encode

DRAINING, GONE = State.DRAINING, State.GONE


def observation(server: int, origin: int, number: int = 1, **what: int) -> Observation:
    figures = {"failures": 0, "cold": 0, "full": 0, "ratio": 0, "age": 0} | what
    return Observation(server, 7, origin, 1, number, **figures)


LISTED = st.builds(
    Listed, st.integers(0, 1), st.sampled_from([0, 7]), st.integers(1, 3),
    st.sampled_from([int(DRAINING), int(GONE)]), st.integers(0, 3).map(lambda s: s * SECOND),
)  # fmt: skip
SEEN = st.builds(
    Observation, st.integers(0, 1), st.sampled_from([0, 7]), st.integers(0, 9), st.integers(1, 2),
    st.integers(1, 3), st.integers(0, 3), st.integers(0, 1), st.integers(0, 3),
    st.sampled_from([0, 24, 54]), st.integers(0, 3).map(lambda s: s * SECOND),
)  # fmt: skip


def held(beliefs: Beliefs) -> object:
    rows = {s: sorted(beliefs.rows(s), key=repr) for s in sorted(beliefs.servers())}
    return rows, tuple(beliefs.digest)


@settings(max_examples=300, deadline=None)
@given(st.lists(LISTED | SEEN, max_size=12), st.integers(0, 1 << 30))
def test_words_come_to_the_same_in_any_order_and_number(records: list[Record], seed: int) -> None:
    random = Random(seed)
    once, again = Beliefs(10, 2), Beliefs(10, 2)
    shuffled = records + random.choices(records, k=5) if records else []
    random.shuffle(shuffled)
    for beliefs, messages in ((once, records), (again, shuffled)):
        for record in messages:
            assert isinstance(record, Listed | Observation)
            beliefs.merge(10 * SECOND, record)
    assert held(once) == held(again)


def test_every_order_of_a_drain_a_return_and_observations_ends_alike() -> None:
    """3 nodes, 2 servers: all orders of six messages, and of any five and four of them whole."""
    messages: list[Listed | Observation] = [
        Listed(0, 7, 4, DRAINING, 0), Listed(0, 7, 5, GONE, 0), Listed(1, 7, 4, DRAINING, 0),
        observation(0, 1, 1, failures=3), observation(0, 1, 2),
        observation(1, 2, 1, failures=2, cold=1),
    ]  # fmt: skip
    ends: dict[frozenset[Listed | Observation], set[str]] = {}
    for size in (4, 5, 6):
        for order in permutations(messages, size):
            beliefs = Beliefs(3, 1)
            for record in order:
                beliefs.merge(SECOND, record)
            ends.setdefault(frozenset(order), set()).add(repr(held(beliefs)))
    assert len(ends) == 15 + 6 + 1
    assert all(len(pictures) == 1 for pictures in ends.values())


def test_a_word_passed_round_grows_no_younger_and_ends() -> None:
    beliefs = Beliefs(3, 1)
    beliefs.merge(0, observation(0, 1, failures=3))
    assert not beliefs.merge(4 * SECOND, observation(0, 1, failures=3, age=0))
    found = beliefs.get(5 * SECOND, (0, 1))
    assert found is not None and found.age == 5 * SECOND
    beliefs.expire(KEEP_OBSERVATION)
    assert not beliefs.servers() and beliefs.digest == [0] * len(beliefs.digest)
    assert not beliefs.merge(0, observation(0, 1, failures=3, age=KEEP_OBSERVATION))


def test_a_drain_holds_until_a_newer_list_says_otherwise() -> None:
    fleet = Fleet(Terms(3, 0), 1, 1, 0)
    fleet.listed(0, 4, [(9, 7, State.READY)], True)
    fleet.receive(1, Message(Kind.GOSSIP, 1, 5, records=(Listed(9, 7, 6, DRAINING, 0),)))
    assert fleet.over(9, 7, State.READY) == DRAINING
    fleet.receive(2, Message(Kind.GOSSIP, 2, 5, records=(Listed(9, 7, 5, DRAINING, 0),)))
    fleet.listed(3, 5, [(9, 7, State.READY)], True)  # ours lags behind theirs
    assert fleet.over(9, 7, State.READY) == DRAINING
    assert fleet.over(9, 8, State.READY) == State.READY  # it has started anew since
    fleet.listed(4, 7, [(9, 7, State.READY)], True)
    assert fleet.over(9, 7, State.READY) == State.READY
    # A service that counts from anew outdates what it said under higher versions.
    fleet.receive(5, Message(Kind.GOSSIP, 1, 5, records=(Listed(9, 7, 90, DRAINING, 0),)))
    assert fleet.over(9, 7, State.READY) == DRAINING
    fleet.listed(6, 2, [(9, 7, State.READY)], True)
    assert fleet.over(9, 7, State.READY) == State.READY


@pytest.mark.parametrize(
    ("observations", "zones", "verdict"),
    [
        ([observation(9, 1, failures=3)], 1, ReportedState.DOUBTED),  # it may be cut off itself
        ([observation(9, 1, failures=1), observation(9, 2, failures=2)], 1, ReportedState.SILENT),
        ([observation(9, 1, failures=1), observation(9, 2, failures=1)], 1, None),
        # of the other zone
        ([observation(9, 1, failures=3), observation(9, 3, failures=3)], 2, None),
        ([observation(9, 2, failures=3), observation(9, 4, failures=3)], 2, ReportedState.SILENT),
        ([observation(9, 1, full=2), observation(9, 2, full=2)], 1, ReportedState.FULL),
        ([observation(9, 1, ratio=54)], 1, ReportedState.SLOW),
        # taken back
        ([observation(9, 1, failures=3), observation(9, 1, 2), observation(9, 2, failures=1)], 1,
         None),
        ([observation(9, 1, failures=3)._replace(boot=6)], 1, None),  # of its start before
        # half of all: it is cut off
        ([observation(s, 1, failures=3) for s in range(9, 14)], 1, None),
    ],
)  # fmt: skip
def test_what_observations_come_to(
    observations: list[Observation], zones: int, verdict: ReportedState | None
) -> None:
    fleet = Fleet(Terms(8, 0, zones), 1, 1, 0)
    fleet.listed(0, 1, [(s, 7, State.READY) for s in range(9, 18)], True)
    for record in observations:
        fleet.receive(SECOND // 2, Message(Kind.GOSSIP, 5, 1, records=(record,)))
    told = {c.server: c.told for c in fleet.changes(SECOND // 2)}
    assert told.get(9) == verdict


def test_what_cannot_be_is_dropped_and_the_rest_of_its_word_kept() -> None:
    good = observation(9, 1, failures=1)
    bad: list[Record] = [
        good._replace(failures=99), good._replace(origin=8), good._replace(age=-1),
        good._replace(ratio=1 << 40), good._replace(number=-1), Life(8, 1, 0), Life(2, 1 << 60, 2),
        Life(2, 1, 9), Listed(9, 7, -1, DRAINING, 0), Listed(9, 7, 1, State.READY, 0),
    ]  # fmt: skip
    assert not any(sound(record, 8) for record in bad)
    fleet = Fleet(Terms(8, 0), 1, 1, 0)
    fleet.receive(1, Message(Kind.GOSSIP, 1, 1, records=(*bad, good)))
    assert fleet.counts["unsound"] == len(bad)
    assert fleet.beliefs.servers() == [9]


def test_a_bad_peer_silences_no_more_servers_than_one_in_three() -> None:
    """Two peers lie alike about everything: both are then in doubt themselves."""
    fleet = Fleet(Terms(8, 0), 1, 1, 0)
    fleet.listed(0, 1, [(s, 7, State.READY) for s in range(30)], True)
    for server in range(30):
        for origin in (1, 2):
            message = Message(
                Kind.GOSSIP, origin, 1, records=(observation(server, origin, failures=3),)
            )
            fleet.receive(SECOND // 2, message)
    silent = [
        c
        for c in fleet.changes(SECOND // 2)
        if c.told in (ReportedState.SILENT, ReportedState.DOUBTED)
    ]
    assert len(silent) <= 10


def test_who_has_left_is_told_under_the_start_that_all_knew() -> None:
    """A row that says left has no start of its own any more."""
    one, other = Fleet(Terms(3, 0), 1, 1, 0), Fleet(Terms(3, 1), 2, 1, 0)
    for fleet in (one, other):
        fleet.listed(0, 4, [(9, 7, State.READY)], True)
    one.caught_up = True
    one.listed(1, 5, [(9, 0, State.GONE)], False)
    messages = [o.message for o in one.turn(2) if o.to == 1 and o.message.records]
    assert messages
    other.receive(3, messages[0])
    assert other.over(9, 7, State.READY) == State.DRAINING


class Idle:
    """A host that does nothing."""

    def __getattr__(self, action: str) -> object:
        return lambda *args: None


AIM = RequestClass("balance", 200 * MS, SECOND)


def test_a_process_that_speaks_no_more_ends_its_leases_and_one_that_hears_nobody_is_free() -> None:
    balancer = Balancer(Settings((AIM,), nodes=4), 1, Idle())  # type: ignore[arg-type]
    balancer.start(0)
    fleet = Fleet(Terms(4, 0), 1, 1, 0)
    bridge = BalancerBridge(fleet, balancer)
    balancer.state.concurrency_limit = 20.0
    balancer.on_members(0, Update.FULL, [Listing(b, State.READY) for b in range(16)])

    def caps(update: BalancerUpdate | None) -> int:
        assert update is not None
        bridge.apply(balancer.now, update)
        return sum(b.cap for b in balancer.endpoints.values())

    own = caps(bridge.collect(1))
    ((lender, serial),) = fleet.leases.asks(1, [2], True)
    fleet.leases.granted(1, lender, serial, 255)
    assert caps(bridge.collect(2)) == own + 16 * 2  # two of its slots are in the upper half
    assert caps(bridge.quit(3)) == own and bridge.quit(3) is None
    without = caps(bridge.collect(4 * SECOND))
    assert without == 16 * 5 > own  # a level of 20 among four, as if there were no messages


def test_words_take_out_a_third_of_the_servers_at_most_and_our_own_list_the_others() -> None:
    fleet = Fleet(Terms(4, 0), 1, 1, 0)
    balancer = Balancer(Settings((AIM,), nodes=4), 1, Idle())  # type: ignore[arg-type]
    balancer.start(0)
    balancer.on_members(0, Update.FULL, [Listing(b, State.READY) for b in range(9)])
    bridge = BalancerBridge(fleet, balancer)
    fleet.listed(0, 1, [(b, 7, State.READY) for b in range(9)], True)
    for b in range(9):
        message = Message(Kind.GOSSIP, 1, 1, records=(Listed(b, 7, 5, DRAINING, 0),))
        fleet.receive(1 + b, message)
    update = bridge.collect(20)
    assert update is not None and len(update.draining) == 3
    bridge.apply(20, update)
    assert sum(b.state == State.READY for b in balancer.endpoints.values()) == 6
    # Our own list, still older than the messages, takes none back and no other in its place.
    whole = [(b, 7, State.READY) for b in reversed(range(9))]
    fleet.listed(25, 2, whole, True)
    out = {server for server, boot, state in whole if fleet.over(server, boot, state) != state}
    assert out == {row.backend for row in update.draining}
    # It says so of one of the three: there is room for another.
    first = update.draining[0].backend
    fleet.listed(30, 3, [(first, 7, DRAINING)], False)
    later = bridge.collect(30)
    assert later is not None and len(later.draining) == 1 and len(fleet.out) == 3


def test_what_the_balancer_hears_only_lessens_and_leaves_its_own_observations_alone() -> None:
    balancer = Balancer(Settings((AIM,), max_attempts=1), 1, Idle())  # type: ignore[arg-type]
    balancer.start(0)
    balancer.on_members(0, Update.FULL, [Listing(b, State.READY) for b in range(4)])
    caps = {b.id: b.cap for b in balancer.endpoints.values()}
    balancer.on_peer_report(1, 0, ReportedState.SLOW, 4.0, False)
    balancer.update_caps()
    assert balancer.endpoints[0].cap < caps[0] and balancer.endpoints[0].latency_ratio == 1.0
    balancer.on_peer_report(2, 0, None, 1.0, False)
    balancer.update_caps()
    assert balancer.endpoints[0].cap == caps[0]
    balancer.on_peer_report(3, 1, ReportedState.SILENT, 1.0, True)
    assert balancer.endpoints[1].ejected_until and balancer.endpoints[1].cold_until
    balancer.on_peer_report(4, 1, None, 1.0, False)
    assert not balancer.endpoints[1].ejected_until and balancer.endpoints[1].probing
    # What its own attempts have met, no message takes back.
    balancer.endpoints[2].consecutive_failures = 4
    eject(balancer.state, 5, balancer.endpoints[2], True, False)
    balancer.on_peer_report(50, 2, None, 1.0, False)
    assert balancer.endpoints[2].ejected_until


# ---- who lives ---------------------------------------------------------


def test_lives_merge_in_any_order_and_who_is_accused_says_otherwise() -> None:
    records = [Life(1, i, s) for i, s in product((1, 2), (0, 1, 2))]
    ends = set()
    for order in permutations(records):
        m = Members(0, 3, 1, 1)
        for record in order:
            m.merge(0, 2, record)
        ends.add(m.life(1))
    assert ends == {Life(1, 2, Standing.DEAD)}
    m = Members(0, 3, 5, 1)
    m.merge(0, 1, Life(0, 5, Standing.DEAD))
    assert m.incarnation == 6 and m.news == [Life(0, 6, Standing.ALIVE)]
    m.merge(0, 1, Life(0, 9, Standing.ALIVE))  # our clock has jumped back since we were here
    assert m.incarnation == 10
    m.merge(0, 1, Life(0, 4, Standing.DEAD))
    assert m.incarnation == 10


def test_two_processes_under_one_name_are_seen_and_not_believed() -> None:
    fleet = Fleet(Terms(4, 0), 1, 1, 0)
    fleet.listed(0, 1, [(9, 7, State.READY)], True)
    for i in range(4):
        fleet.receive(
            i, Message(Kind.GOSSIP, 1, 20, records=(observation(9, 1, 10 + i, failures=3),))
        )
        fleet.receive(i, Message(Kind.GOSSIP, 1, 10, records=()))
    assert 1 not in fleet.members.believed(10)
    fleet.spare = 8
    fleet.leases.begin(0)
    fleet.leases.expire(SPAN + SLACK)
    assert fleet.receive(11, Message(Kind.LEASE_REQUEST, 1, 20, 5))[0].message.subject == 0
    assert fleet.receive(11, Message(Kind.LEASE_REQUEST, 2, 20, 5))[0].message.subject == 255
    without_room = Message(Kind.LEASE_REQUEST, 2, 20, 1 << 40)  # no room to repeat its serial
    assert fleet.receive(11, without_room) == []
    assert not fleet.changes(10)
    assert 1 in fleet.members.believed(10 + DOUBTED_FOR)
    assert fleet.counts["old"] == 4


def test_one_who_was_stopped_finds_out_before_it_tells() -> None:
    fleet = Fleet(Terms(4, 0), 1, 1, 0)
    fleet.listed(0, 1, [(9, 7, State.READY)], True)
    fleet.receive(1, Message(Kind.DONE, 1, 1))
    fleet._catch_up_asked = [1]
    fleet.receive(1, Message(Kind.DONE, 1, 1))
    assert fleet.caught_up
    fleet.observe(2, 9, 3, True, 0, 1.0, 2)
    fleet.members.merge(3, 2, Life(3, 0, Standing.SUSPECT))
    assert fleet.stood_still(60 * SECOND) and not fleet.stood_still(60 * SECOND)
    out = fleet.turn(60 * SECOND)
    assert not fleet.caught_up and fleet.counts["stalls"] == 1
    assert Kind.DIGEST in {o.message.kind for o in out}
    assert not fleet.members.unheard(60 * SECOND)  # it was we who were silent
    assert not any(o.message.records for o in out)  # nothing of what it believed
    assert fleet.members.living(3)  # the suspicion did not run out while it stood


def test_an_update_is_sent_a_number_of_times_that_grows_with_the_logarithm() -> None:
    few, many = DisseminationQueue[int](20), DisseminationQueue[int](1000)
    assert (few.limit, many.limit) == (9, 14)
    few.add(1)
    few.add(2)
    few.transmitted(1)
    taken: list[int] = []

    def wanted(key: int) -> bool:
        taken.append(key)
        return len(taken) < 2

    few.take(wanted)
    assert taken == [2, 1]  # least told first
    for _ in range(few.limit):
        few.transmitted(1)
    assert 1 not in few and 2 in few
    for key in range(5000):
        few.add(key)
    assert len(few) == 2048


# ---- slots ---------------------------------------------------------------


@pytest.mark.parametrize(("nodes", "most"), [(2, 3), (4, 5), (5, 15), (6, 4)])
def test_whatever_each_believes_all_together_stay_within_what_a_server_takes(
    nodes: int, most: int
) -> None:
    """Every node's view of the living is any at all, apart from the others' views."""
    deepened = False
    for rank, level in product(range(nodes), range(1, 12)):
        total = 0
        for place in range(nodes):
            deal = (place - rank) % nodes
            caps = []
            for view in product((False, True), repeat=nodes):
                slots = Slots(place, nodes, most, lambda p, v=view: v[p])  # type: ignore[misc]
                slots.refresh()
                depth = slots.depth(deal, level, 100)
                deepened = deepened or depth > level
                caps.append(max(-(-(depth - deal) // nodes), 0))
            total += max(caps)
        assert total <= max(most, level)  # beyond it no more than without gossip
    assert deepened


def test_the_living_take_over_the_slots_of_the_dead() -> None:
    for rank in range(10):
        owned = 0
        for place in (2, 5, 7):
            slots = Slots(place, 10, 15, lambda p: p in (2, 5, 7))
            slots.refresh()
            deal = (place - rank) % 10
            depth = slots.depth(deal, 4, 24)
            owned += max(-(-(depth - deal) // 10), 0)
        assert owned == 4  # as many as the level asks for
    few = Slots(2, 10, 15, lambda p: p in (2, 5, 7))
    few.refresh()
    assert few.depth(0, 40, 24) == 40  # twelve living slots: pressure gets what it had
    assert few.depth(0, 64, 24) == 46  # the fifteenth living slot is the last
    whole = Slots(0, 10, 15, lambda _p: True)
    whole.refresh()
    assert whole.depth(0, 4, 24) == 4
    assert whole.depth(0, 60, 24) == 15  # a level beyond what a server takes
    assert whole.depth(0, 60, 1) == 30  # one server for ten: each needs its few
    assert whole.cap(7, 0, 60, 24) == 2
    assert ISOLATED_AFTER > SPAN + SLACK  # whatever we have lent has ended by the time we are free
    whole.free = True  # nobody is heard: at least what there is without gossip
    assert whole.cap(7, 0, 60, 24) == 6 and whole.cap(7, 0, 4, 24) == 1


class Lender:
    """One node of the leases' proof: its caps are as of its last turn, up to SLACK ago."""

    def __init__(self, place: int, skew: int, seed: int) -> None:
        self.place, self.skew, self.starts, self.seed = place, skew, 0, seed
        self.start(0)

    def start(self, now: int) -> None:
        self.starts += 1
        self.leases = SlotLeases(self.seed + 7 * self.starts)
        self.leases.begin(now + self.skew)
        self.slots = Slots(self.place, 4, 5, lambda _p: True)
        self.turn(now)

    def turn(self, now: int) -> None:
        self.turned = now
        self.leases.expire(now + self.skew)
        self.slots.out = self.leases.out()
        self.slots.borrowed = self.leases.borrowed(now + self.skew)

    def cap(self, server: int) -> int:
        return self.slots.cap(server, (self.place - server) % 4, 20, 9)


def test_whatever_happens_to_words_nobody_uses_a_seat_that_is_lent() -> None:
    assert max(lending(seed) for seed in range(60)) > 3  # two slots at a server are its own


def lending(seed: int) -> int:
    """Messages are lost, late, doubled, of an earlier start; nodes restart and turn late.

    The most that one node had at a server.
    """
    draw = Random(seed)
    nodes = [Lender(place, draw.randrange(10 * SECOND), place) for place in range(4)]
    asked: list[tuple[int, int, int]] = []
    answers: list[tuple[int, int, int, int]] = []
    now = most = 0
    for _ in range(250):
        now += draw.choice((0, 20 * MS, 250 * MS))
        node = draw.choice(nodes)
        what = draw.random()
        if what < 0.35:
            others = [n.place for n in nodes if n is not node]
            for lender, serial in node.leases.asks(now + node.skew, others, True):
                asked.append((node.place, lender, serial))
        elif what < 0.65 and asked:
            borrower, to, serial = draw.choice(asked[-draw.choice((2, 30)) :])
            classes = nodes[to].leases.lend(now + nodes[to].skew, borrower, draw.randrange(9))
            nodes[to].turn(now)
            answers.append((borrower, to, serial, classes))
        elif what < 0.97 and answers:
            borrower, of, serial, classes = draw.choice(answers[-draw.choice((2, 30)) :])
            nodes[borrower].leases.granted(now + nodes[borrower].skew, of, serial, classes)
            nodes[borrower].turn(now)
        elif what > 0.995:
            node.start(now)
        for n in nodes:
            if now - n.turned > SLACK - 250 * MS:
                n.turn(now)
        for server in range(9):
            held = sum(n.cap(server) for n in nodes)
            assert held <= 5
            most = max(most, *(n.cap(server) for n in nodes))
    return most


def test_a_lender_keeps_what_it_needs_and_a_borrower_counts_from_its_own_question() -> None:
    slots = Slots(0, 4, 8, lambda _p: True)
    rows = [(server % 4, 8) for server in range(16)]  # two slots at each, one of them lent
    assert [slots.spare(rows, 16, need, 32) for need in (0, 16, 20, 31.9, 32.5)] == [8, 8, 6, 0, 0]
    lender, borrower = SlotLeases(1), SlotLeases(2)
    lender.begin(0)
    assert lender.lend(SPAN, 1, 8) == 0 and lender.out() == 255  # an earlier start may have lent
    lender.expire(SPAN + SLACK)
    ((_, serial),) = borrower.asks(0, [5], True)
    assert lender.lend(3 * SECOND, 1, 3).bit_count() == lender.out().bit_count() == 3
    assert lender.lend(3 * SECOND, 2, 4).bit_count() == 1  # the others are lent already
    borrower.granted(SPAN - 1, 5, serial + 1, 7)
    borrower.granted(SPAN - 1, 4, serial, 7)  # neither is an answer to what was asked
    assert borrower.held == {}
    borrower.granted(SPAN - 1, 5, serial, 7)
    assert borrower.borrowed(SPAN - 1) == [(5, 7)] and borrower.borrowed(SPAN) == []
    (first,) = borrower.asks(SPAN, [5], True)
    (second,) = borrower.asks(SPAN + SECOND, [5], True)
    borrower.granted(2 * SPAN, 5, second[1], 7)
    borrower.granted(2 * SPAN, 5, first[1], 255)  # overtaken by the one after it
    assert borrower.borrowed(3 * SPAN - SECOND - 1) == [(5, 7)]
    ((_, late),) = SlotLeases(3).asks(0, [5], True)
    stale = SlotLeases(3)
    stale.asks(0, [5], True)
    stale.granted(SPAN, 5, late, 7)  # longer under way than it would have lasted
    assert stale.held == {} and stale.asks(SPAN + SECOND, [5], True) == []


# ---- bytes -----------------------------------------------------------------


def test_the_longest_word_fits_what_the_platform_carries() -> None:
    big = (1 << 64) - 1
    longest: list[Record] = [
        Life(999, (1 << 48) - 1, 3),
        Listed(big, 1 << 47, 1 << 40, 2, 600 * SECOND),
        Observation(big, 1 << 47, 999, (1 << 48) - 1, 1 << 30, 15, 1, 15, 160, 15 * SECOND),
    ]
    bare = len(encode(Message(Kind.DONE, 999, (1 << 48) - 1, 1 << 30, 999), 65535))
    assert bare <= MESSAGE_HEAD
    for record in longest:
        message = Message(Kind.GOSSIP, 999, (1 << 48) - 1, 1 << 30, 999, (), (record,))
        data = encode(message, 65535)
        assert len(data) - bare <= RECORD_SIZES[type(record)]
        assert decode(data, 65535) == message
    digest = encode(Message(Kind.DIGEST, 999, (1 << 48) - 1, 1, 999, (0xFFFFFFFF,) * 9), 65535)
    assert len(digest) <= MESSAGE_HEAD + DIGEST_SIZE


def test_what_is_no_word_of_ours_is_told_apart() -> None:
    message = Message(Kind.GOSSIP, 1, 2, records=(observation(9, 1, failures=1, age=5 * MS),))
    data = encode(message, 7)
    assert decode(data, 7) == message
    for spoilt, cause in (
        (data[:4], "short"), (data[:-1], "broken"), (data[:9] + b"\0" + data[10:], "broken"),
        (encode(message, 8), "another tier"),
    ):  # fmt: skip
        with pytest.raises(BadMessageError, match=cause):
            decode(spoilt, 7)
