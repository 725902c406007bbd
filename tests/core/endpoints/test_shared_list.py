"""The list read for all by a few: whole fleets in the world, and the pure parts beside them."""

from __future__ import annotations

import itertools
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.endpoints.list_readers import (
    FAILED_FOR,
    FIRST_STEP,
    PAUSE,
    STALE,
    Readers,
    rank,
)
from loadbalancer.core.endpoints.list_versions import (
    NOTHING,
    WHOLE,
    Copy,
    Packed,
    Piece,
    Pieces,
    Step,
    Version,
    pack,
    unpack,
)
from loadbalancer.core.endpoints.shared_list import PIECE_HEAD, SharedList
from loadbalancer.core.gossip.membership import Membership
from loadbalancer.core.gossip.messages import (
    Kind,
    MemberRecord,
    MemberStatus,
    Message,
    Outgoing,
    ReaderRecord,
    ReaderState,
    is_valid,
)
from loadbalancer.gossip_transport.codec import decode, encode
from simulation.list_world import LINES, ListWorld, row

# ---- versions, steps, pieces ---------------------------------------------------


def history(seed: int, versions: int) -> list[dict[str, str]]:
    """A service's rows by version, from 1 on; some versions replace most of them."""
    draw = Random(seed)
    rows = {f"s{i}": row(i) for i in range(12)}
    found = [dict(rows)]
    for life in range(1, versions):
        for _ in range(8 if draw.random() < 0.2 else 1):
            uid = f"s{draw.randrange(16)}"
            if uid in rows and draw.random() < 0.4:
                del rows[uid]
            else:
                rows[uid] = row(int(uid[1:]), life)
        found.append(dict(rows))
    return found


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), st.data())
def test_a_copy_is_always_one_version_whole_and_never_goes_back(
    seed: int, data: st.DataObject
) -> None:
    """Readers that came by other versions, steps late, twice and in any order."""
    versions = history(seed, 8)
    steps: list[Step] = []
    for _ in range(2):
        reader, at = Copy(), 0
        while at < len(versions) - 1:
            at += data.draw(st.integers(1, 3))
            at = min(at, len(versions) - 1)
            step = reader.read(at + 1, dict[str, str | None](versions[at]), True)
            assert step is not None
            steps.append(step)
    copy = Copy()
    for i in data.draw(st.lists(st.integers(0, len(steps) - 1), max_size=30)):
        step = unpack(pack(steps[i]))
        assert step is not None
        before = copy.version
        if copy.fits(step) and copy.apply(step) is None:
            # A row that was another in between and is back: nothing changes, all rows are asked.
            assert step.base != WHOLE and copy.version == before
            again = unpack(reader.since(NOTHING))
            assert again is not None and again.base == WHOLE and copy.fits(again)
        assert copy.version >= before
        assert copy.rows == (versions[copy.version.rev - 1] if copy.version.rev else {})
    last = unpack(reader.since(NOTHING))
    assert last is not None and (copy.version == reader.version or copy.fits(last))
    if copy.version != reader.version:
        assert copy.apply(last) is not None and copy.rows == versions[-1]


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 10**6))
def test_pieces_in_any_order_twice_or_of_two_versions_make_one_step_or_none(seed: int) -> None:
    draw = Random(seed)
    versions = history(seed, 4)
    packings = [pack(Step(WHOLE, Version(1, i + 1, 0), rows)) for i, rows in enumerate(versions)]
    pieces = [
        (Piece(*p.to, p.base, -(-len(p.data) // 40), n, p.check, -1), p.data[n * 40 : n * 40 + 40])
        for p in packings
        for n in range(-(-len(p.data) // 40))
    ]
    spoilt = [(p._replace(rev=p.rev + 1), body) for p, body in draw.sample(pieces, 3)]
    spoilt += [(p, body[:-1] + b"?") for p, body in draw.sample(pieces, 2)]
    words = pieces + draw.sample(pieces, len(pieces) // 2) + spoilt
    draw.shuffle(words)
    held, whole = Pieces(40), 0
    for at, (piece, body) in enumerate(words):
        got = held.take(at, piece, body)
        if isinstance(got, Packed):
            step = unpack(got)
            # A broken piece that came before the right one breaks the sum: none.
            assert step is None or step.rows == versions[got.to.rev - 1]
            whole += step is not None
        assert len(held.open) <= 8
    assert whole >= 1


def test_what_can_t_be_is_no_step() -> None:
    good = pack(Step(WHOLE, Version(1, 1, 0), {"a": "b"}))
    import zlib

    for data in (b"", b"x", zlib.compress(b"[1]"), zlib.compress(b'{"a": 1}'), good.data[:-2]):
        assert unpack(good._replace(data=data, check=zlib.crc32(data))) is None
    assert unpack(good._replace(check=1)) is None
    huge = zlib.compress(b'{"a":"' + b"x" * 10_000 + b'"}')  # far beyond what rows pack to
    assert unpack(Packed(WHOLE, good.to, zlib.crc32(huge), huge)) is None
    alike = Step(WHOLE, good.to, {f"s{i}": "x" * 200 for i in range(50)})
    assert unpack(pack(alike)) == alike  # and rows that do pack so well are sent as they are
    pieces = Pieces(40)
    sane = Piece(1, 1, 0, WHOLE, 2, 0, 9, -1)
    wrong = [sane._replace(number=2), sane._replace(total=30_000), sane._replace(rev=-1)]
    wrong += [sane._replace(base=-2), sane._replace(number=-1), sane._replace(epoch=0)]
    wrong += [sane._replace(base=1 << 63)]
    assert all(pieces.take(0, p, b"x") is False for p in wrong)
    assert pieces.take(0, sane, b"x" * 41) is False and pieces.take(0, sane, b"") is False
    big = ReaderRecord(1, 5, 1, 1, 1 << 63, 0, 0, 0)
    assert not is_valid(big, 5) and not is_valid(big._replace(epoch=0, state=3), 5)
    assert is_valid(big._replace(epoch=0), 5) and not is_valid(big._replace(epoch=0, node=5), 5)


def test_a_service_that_counts_from_anew_begins_an_epoch_and_says_nothing_twice() -> None:
    rows = dict[str, str | None]({"a": "1", "b": "2", "c": "3"})
    copy = Copy()
    assert copy.read(41, rows, True) is not None and copy.read(41, rows, True) is None
    late = copy.read(42, {"a": None}, False)
    assert late == Step(41, copy.version, {"a": None}) and sorted(copy.rows) == ["b", "c"]
    assert copy.version.epoch == 1
    again = copy.read(5, rows, True)
    assert again is not None and again.base == WHOLE and copy.version[:2] == (2, 5)
    other = copy.read(5, {"a": "9"}, True)  # the same number, other rows
    assert other is not None and copy.version[:2] == (3, 5)
    empty = copy.read(6, {}, True)
    assert empty is not None and not copy.rows


def test_pieces_fit_their_datagram_whatever_their_figures() -> None:
    most = (1 << 63) - 1
    piece = Piece(most, most, most, most, 4096, 4095, (1 << 32) - 1, 999)
    body = bytes(256 - PIECE_HEAD)
    word = Message(Kind.PIECE, 999, (1 << 48) - 1, digest=tuple(piece), body=body)
    data = encode(word, 7)
    assert len(data) <= 256 and decode(data, 7) == word
    missing = (most, most, most, (1 << 32) - 1, *range(4000, 4016))
    assert len(encode(Message(Kind.WANT, 999, (1 << 48) - 1, digest=missing), 7)) <= 256


# ---- who reads ---------------------------------------------------------------------


def test_whoever_lives_so_many_read_and_where_views_agree_no_more() -> None:
    for nodes, count in itertools.product((1, 2, 3, 5), (1, 2)):
        for picked in range(1, 1 << nodes):
            living = {n for n in range(nodes) if picked >> n & 1}
            reading = [
                n
                for n in living
                if Readers(n, nodes, count, 0).chosen(0, living.__contains__, False)
            ]
            assert len(reading) == min(count, len(living)) or nodes == 1


def readers(me: int, *words: tuple[int, ReaderState, int]) -> Readers:
    """Of 6 nodes by rank, at 100 s; words of (place by rank, how, s ago)."""
    held = Readers(me, 6, 2, 0)
    order = sorted(range(6), key=rank)
    for place, how, ago in words:
        word = ReaderRecord(order[place], 1, 1, how, 0, 41, 7, ago * SECOND)
        assert held.merge(100 * SECOND, word)
        assert not held.merge(100 * SECOND, word)
    return held


def test_the_turned_away_stand_behind_and_a_fleet_that_fails_asks_ever_less() -> None:
    order = sorted(range(6), key=rank)
    now = 100 * SECOND

    def reading(*words: tuple[int, ReaderState, int]) -> list[int]:
        found = []
        for place, node in enumerate(order):
            mine = [w for w in words if w[0] == place]
            held = readers(node, *(w for w in words if w[0] != place))
            for _, how, ago in mine:
                held.say(now - ago * SECOND, 1, how, Version(0, 41, 7))
            if held.chosen(now, lambda _: True, False):
                found.append(place)
        return found

    assert reading((0, ReaderState.READ, 1), (1, ReaderState.READ, 1)) == [0, 1]
    assert reading((0, ReaderState.FAILED, 1), (1, ReaderState.READ, 1)) == [1, 2]
    others = ((2, ReaderState.READ, 1), (4, ReaderState.READ, 1))
    assert reading(
        (0, ReaderState.FAILED, 1), (1, ReaderState.FAILED, 2), (3, ReaderState.FAILED, 1), *others
    ) == [2, 4]
    # Just now: for a moment nobody begins, the longer the more have failed.
    assert reading((0, ReaderState.FAILED, 0)) == []
    assert reading(*((p, ReaderState.FAILED, 1) for p in range(4))) == []
    # All have: those whose failure is longest ago.
    assert reading(*((p, ReaderState.FAILED, 4 if p > 2 else 3) for p in range(6))) == []
    last = readers(order[5], *((p, ReaderState.FAILED, 4) for p in range(5)))
    last.say(now - 5 * SECOND + 1, 1, ReaderState.FAILED, Version(0, 41, 7))
    assert last.chosen(now, lambda _: True, True)  # who reads already goes on
    # Silent ones: group after group steps in, soon while nobody has read at all.
    late = readers(order[2], (0, ReaderState.READ, 20))
    assert late.chosen(now, lambda _: True, False) and STALE < 20 * SECOND
    later = readers(order[4], (0, ReaderState.READ, 20))
    assert not later.chosen(now, lambda _: True, False)
    first = Readers(order[2], 6, 2, now - FIRST_STEP - 1)
    assert first.chosen(now, lambda _: True, False)
    assert not Readers(order[2], 6, 2, now - FIRST_STEP).chosen(now, lambda _: True, False)
    assert PAUSE < FAILED_FOR


def send_step(shared: SharedList, step: Step, origin: int, root: int) -> list[Outgoing]:
    """A step's pieces as words of that node; what is passed on."""
    packed, room = pack(step), 256 - PIECE_HEAD
    total, out = -(-len(packed.data) // room), []
    for n in range(total):
        piece = Piece(*step.to, step.base, total, n, packed.check, root)
        body = packed.data[n * room : (n + 1) * room]
        word = Message(Kind.PIECE, origin, 9, digest=tuple(piece), body=body)
        out += shared.receive(MS, word)
    return out


def test_a_step_without_its_mark_or_its_base_changes_nothing() -> None:
    shared = SharedList(Membership(0, 5, 1, 1), 5, 2, 256, 1, 0)
    rows = {f"s{i}": row(i) for i in range(8)}
    shared.copy.begin(41, rows)
    had = shared.copy.version
    forged = Step(41, Version(1, 43, 77), {"s1": row(1, 9)})
    send_step(shared, forged, 1, 1)
    assert shared.counts["steps that disagree"] == 1
    writer = Copy()
    writer.begin(41, rows)
    first = writer.read(42, {"s1": row(1, 5)}, False)
    second = writer.read(43, {"s2": None}, False)
    assert first is not None and second is not None
    # The later one first: it waits for the other, and is passed on all the same.
    passed = send_step(shared, second, 1, 1)
    assert {o.to for o in passed} == set() and shared.copy.version == had and not shared.news
    send_step(shared, first, 1, 1)
    assert shared.copy.version == second.to and [n.rev for n in shared.news] == [42, 43]
    assert shared.copy.rows == writer.rows
    # Neither an old version nor the same one comes back, from wherever it is sent.
    send_step(shared, Step(WHOLE, had, dict(rows)), 2, 2)
    assert shared.copy.version == second.to and len(shared.news) == 2
    # A row that was another in between and is back is not in a step over both: it disagrees,
    # and all rows are asked for, once a reader is known to have them.
    flapped, last = Copy(), writer.read(44, {"s3": None}, False)
    assert last is not None
    send_step(shared, last, 1, 1)
    flapped.begin(41, rows)
    flapped.read(43, {"s1": row(1, 5), "s2": None}, False)
    over = flapped.read(45, {"s4": None}, False)
    assert over is not None and over.base == 43
    send_step(shared, over, 1, 1)
    assert shared.copy.version == last.to and shared.counts["steps that disagree"] == 2
    shared.caught_up = True
    shared.readers.merge(MS, ReaderRecord(1, 9, 1, ReaderState.READ, *over.to, 0))
    shared.turn(2 * MS)
    (asked,) = (o.message for o in shared.turn(SECOND) if o.message.kind == Kind.WANT)
    assert asked.digest[:3] == NOTHING
    send_step(shared, Step(WHOLE, over.to, dict(flapped.rows)), 1, -1)
    assert shared.copy.rows == flapped.rows and "s3" in shared.copy.rows
    # A root passes on to its children, who pass on to theirs: nobody twice, nobody left out.
    for nodes in (2, 5, 6, 40, 200):
        reached = {7 % nodes: 0}
        ahead = [7 % nodes]
        while ahead:
            node = ahead.pop()
            part = SharedList(Membership(node, nodes, 1, 1), nodes, 2, 256, 1, 0)
            for child in part._children(7 % nodes):
                assert child not in reached
                reached[child] = reached[node] + 1
                ahead.append(child)
        assert len(reached) == nodes and max(reached.values()) <= 4


def test_a_dead_node_s_children_are_passed_on_to_by_its_parent() -> None:
    dead = {0, 3, 4, 17}
    parts = []
    for node in range(40):
        members = Membership(node, 40, 1, 1)
        for gone in dead - {node}:
            members.merge(0, 1, MemberRecord(gone, 1, MemberStatus.DEAD))
        parts.append(SharedList(members, 40, 2, 256, 1, 0))
    reached, ahead = {7}, [7]
    while ahead:
        children = parts[ahead.pop()]._children(7)
        assert not reached & set(children)
        reached |= set(children)
        ahead += children
    assert reached == set(range(40)) - dead


def test_a_reader_that_has_asked_waits_for_its_answer_though_another_s_turn_has_come() -> None:
    order = sorted(range(5), key=rank)
    shared = SharedList(Membership(order[2], 5, 1, 1), 5, 2, 256, 1, 0)
    shared.caught_up = True
    shared._members.on_message(0, order[0], 9)
    now = FIRST_STEP + MS
    shared._members.on_message(now, order[0], 9)
    shared.turn(now)
    assert shared.reads  # nobody gave a sign
    for node in order[:2]:
        shared.readers.merge(now + MS, ReaderRecord(node, 9, 1, ReaderState.POLLING, 0, 0, 0, 0))
    shared.turn(now + 2 * MS)
    assert shared.reads
    shared.read(now + 3 * MS, 41, {"s1": row(1)}, True)
    shared.turn(now + 4 * MS)
    assert not shared.reads


def test_one_reader_s_word_alone_takes_no_half_of_the_list_away() -> None:
    nodes = 5
    members = Membership(0, nodes, 1, 1)
    order = [n for n in sorted(range(nodes), key=rank) if n != 0]
    shared = SharedList(members, nodes, 2, 256, 1, 0)
    rows = {f"s{i}": row(i) for i in range(8)}
    shared.copy.begin(41, rows)
    writer = Copy()
    writer.begin(41, rows)
    step = writer.read(42, {u: None for u in list(rows)[:6]}, False)
    assert step is not None
    send_step(shared, step, order[0], order[0])
    assert shared.copy.version.rev == 41 and not shared.news
    for witnesses, writer_node in enumerate(order[:2], 1):
        shared.readers.merge(2 * MS, ReaderRecord(writer_node, 9, 1, ReaderState.READ, *step.to, 0))
        shared.turn(3 * MS)
        assert bool(shared.news) == (witnesses == 2)
    assert shared.copy.version.rev == 42 and len(shared.copy.rows) == 2


# ---- fleets ---------------------------------------------------------------------------


def within_the_ceiling(world: ListWorld) -> None:
    assert max(world.service.lines.values(), default=0) <= LINES


@pytest.mark.parametrize(
    ("nodes", "servers", "loss", "limit"), [(60, 100, 0.0, 2), (120, 270, 0.3, 5)]
)
def test_a_cold_fleet_reads_two_lists_in_all(
    nodes: int, servers: int, loss: float, limit: int
) -> None:
    world = ListWorld(nodes, servers, 3, 2)
    world.links.loss = loss
    world.start_all()
    assert world.run(limit * SECOND, world.current)
    assert world.service.counts["whole lists"] == 2 and not world.service.counts["turned away"]
    within_the_ceiling(world)


def test_each_on_its_own_a_fleet_reads_a_list_a_node_in_turn() -> None:
    alone = ListWorld(20, 100, 3, 0)
    alone.start_all()
    assert not alone.run(9 * SECOND, alone.current)
    assert alone.run(15 * SECOND, alone.current)
    assert alone.service.counts["whole lists"] == 20
    within_the_ceiling(alone)


@pytest.mark.parametrize("seed", range(4))
def test_readers_that_die_as_they_pass_on_are_followed_by_others(seed: int) -> None:
    world = ListWorld(30, 400, seed, 2)
    world.start_all()
    killed = []

    def partly() -> bool:
        held = [f.shared_list for f in world.nodes.values() if f.shared_list]
        return any(s._pieces.open for s in held) and any(s.reads for s in held)

    for _ in range(3):
        assert world.run(world.now + 20 * SECOND, partly)
        for node in [n for n, f in world.nodes.items() if f.shared_list and f.shared_list.reads]:
            world.kill(node)
            killed.append(node)
        for node, fleet in world.nodes.items():  # and what they had passed on is lost as well
            world.starters[node].list.rows = {}
            assert fleet.shared_list is not None
            fleet.shared_list._pieces.open.clear()
            fleet.shared_list.copy = Copy()
    assert world.run(world.now + 25 * SECOND, world.current)
    assert len(killed) >= 4 and world.service.counts["turned away"] == 0
    for node in killed:
        world.start(node)
    whole = world.service.counts["whole lists"]
    assert world.run(world.now + 10 * SECOND, world.current)
    assert world.service.counts["whole lists"] <= whole + 2  # the others had it from their peers
    within_the_ceiling(world)


def test_a_service_that_refuses_is_down_lies_and_starts_anew() -> None:
    world = ListWorld(30, 60, 5, 2)
    service = world.service
    service.refusing = 2 / 3
    world.start_all()
    assert world.run(30 * SECOND, world.current)
    assert service.counts["whole lists"] <= 4
    # Down for 10 s: the list stays, and the fleet asks a few times in all.
    service.refusing, service.down = 0.0, True
    for starter in world.starters.values():
        service.forget(starter.list)
    calls = service.counts["calls"]
    world.run(world.now + 10 * SECOND)
    assert service.counts["calls"] - calls <= 40 and world.current()
    service.down = False
    service.change({"s3": None, "s90": row(90)})
    assert world.run(world.now + 10 * SECOND, world.current)
    # Older and with half of the rows: nobody goes back for an answer or two.
    rev = service.list.rev
    service.old = rev - 5, {u: r for u, r in list(service.rows.items())[:30]}
    for starter in world.starters.values():
        service.forget(starter.list)
    lies = lambda: max(s.list.lag.older for s in world.starters.values()) >= 1  # noqa: E731
    assert world.run(world.now + 5 * SECOND, lies)  # a silent watch is given up after 3.5 s
    assert all(s.list.rev == rev for s in world.starters.values())
    service.old = None
    # It has lost its count: after some answers all go by the new one, and stay there.
    service.change({"s4": None}, rev=7)
    assert world.run(world.now + 60 * SECOND, world.current)
    epochs = {f.shared_list.copy.version[:2] for f in world.nodes.values() if f.shared_list}
    assert len(epochs) == 1 and min(epochs)[0] >= 2
    service.change({"s91": row(91)})
    assert world.run(world.now + 3 * SECOND, world.current)
    assert all(s.list.rev == 8 for s in world.starters.values())


def test_parts_of_a_fleet_that_is_cut_each_read_and_heal_to_one_list() -> None:
    world = ListWorld(30, 60, 6, 2)
    world.start_all()
    assert world.run(5 * SECOND, world.current)
    reads = {n for n, f in world.nodes.items() if f.shared_list and f.shared_list.reads}
    world.run(world.now + 4 * SECOND)
    far = {n for n in range(30) if n not in reads and n % 2}
    world.links.part(far, set(range(30)) - far)
    world.service.change({f"s{i}": row(i, 2) for i in range(20)})
    assert world.run(world.now + 30 * SECOND, world.current)
    world.links.cut = set()
    world.service.change({"s0": None, "s77": row(77)})
    assert world.run(world.now + 20 * SECOND, world.current)
    world.run(world.now + 10 * SECOND)
    assert {n for n, f in world.nodes.items() if f.shared_list and f.shared_list.reads} == reads
    # Every word lost: each comes to read for itself, as without words.
    world.links.loss = 1.0
    world.service.change({"s78": row(78)})
    assert world.run(world.now + 20 * SECOND, world.current)
    within_the_ceiling(world)


def test_servers_replaced_by_the_dozen_are_known_to_all_at_once() -> None:
    world = ListWorld(60, 100, 8, 2)
    world.start_all()
    assert world.run(3 * SECOND, world.current)
    before = world.service.counts["lines"]
    times = []
    for i in range(60):
        world.run(world.now + SECOND // 9)
        world.service.change({f"s{i}": None, f"s{100 + i}": row(100 + i)})
        began = world.now
        if i % 6 == 0:
            assert world.run(world.now + 3 * SECOND, world.current)
            times.append((world.now - began) / SECOND)
    assert world.run(world.now + 3 * SECOND, world.current)
    assert sorted(times)[len(times) // 2] < 0.3
    assert world.service.counts["lines"] - before <= 2 * 2 * 60 + 20


def test_a_known_list_of_another_day_goes_before_none_that_was_read() -> None:
    """Nothing, an older version, a later one, the same number, each with rows of that day."""
    world = ListWorld(24, 40, 11, 2)
    other = {f"s{i}": row(i, 7) for i in range(20, 60)}
    old = {f"s{i}": row(i) for i in range(30)}
    had = [(0, {}), (35, other), (500, other), (41, other), (35, old), (41, world.service.rows)]
    world.known = lambda node: (had[node % 6][0], dict(had[node % 6][1]))
    world.start_all()
    assert world.run(6 * SECOND, world.current)
    assert world.service.counts["whole lists"] == 2  # from the start on, whatever readers had
    within_the_ceiling(world)
    world.service.change({"s3": None})
    assert world.run(world.now + 2 * SECOND, world.current)


def test_where_some_nodes_know_of_readers_and_some_do_not_all_have_the_list() -> None:
    """A roll-out: every other node is as it was before, asks for itself and passes nothing on."""
    world = ListWorld(24, 40, 10, 2)
    world.terms = [replace(t, readers=0) if t.me % 2 else t for t in world.terms]
    world.start_all()
    assert world.run(20 * SECOND, world.current)
    world.service.change({"s3": None, "s90": row(90)})
    assert world.run(world.now + 12 * SECOND, world.current)
    reading = [n for n, f in world.nodes.items() if f.shared_list and f.shared_list.reads]
    assert 1 <= len(reading) <= 2
    # The old ones read for themselves; of the others a reader or two, and who stepped in for
    # those among the first that never said that they read.
    assert world.service.counts["whole lists"] <= 12 + 6


def test_who_names_versions_that_nobody_has_is_not_gone_by() -> None:
    world = ListWorld(12, 30, 9, 2)
    world.start_all()
    assert world.run(5 * SECOND, world.current)
    liar = next(n for n, f in world.nodes.items() if f.shared_list and not f.shared_list.reads)
    fleet = world.nodes[liar]
    assert fleet.shared_list is not None
    lie = ReaderRecord(liar, fleet.members.incarnation, 99, ReaderState.READ, 5, 10**6, 1, 0)
    for node in range(12):
        if node != liar:
            said = Message(Kind.GOSSIP, liar, fleet.members.incarnation, records=(lie,))
            world.send(node, world.nodes[node].receive(world.clock(node), said))
    world.run(world.now + 8 * SECOND)
    held = [f.shared_list for f in world.nodes.values() if f.shared_list]
    asked = sum(s.counts["asked for what is missing"] for s in held)
    assert asked > 10
    world.run(world.now + 3 * SECOND)
    assert sum(s.counts["asked for what is missing"] for s in held) == asked
    calls = world.service.counts["whole lists"]
    world.service.change({"s3": None})
    assert world.run(world.now + 3 * SECOND, world.current)
    assert world.service.counts["whole lists"] == calls  # and nobody asked for it all
    assert sum(s.counts["versions that nobody has"] for s in held) >= 10
