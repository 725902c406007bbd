"""Tests of the shared endpoint list: one node's part, and simulations of whole fleets."""

from __future__ import annotations

from dataclasses import replace

import pytest

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.endpoints.delta_sender import PIECE_HEADER_BYTES
from loadbalancer.core.endpoints.list_pieces import Piece, PieceRequest
from loadbalancer.core.endpoints.list_readers import (
    INITIAL_TAKEOVER_NS,
    reader_rank,
)
from loadbalancer.core.endpoints.list_replica import ListReplica
from loadbalancer.core.endpoints.list_versions import (
    FULL_LIST,
    NO_VERSION,
    ListDelta,
    ListVersion,
    pack,
)
from loadbalancer.core.endpoints.shared_list import SharedList
from loadbalancer.core.gossip.membership import Membership
from loadbalancer.core.gossip.messages import (
    MemberRecord,
    MemberStatus,
    Message,
    MessageKind,
    Outgoing,
    ReaderRecord,
    ReaderState,
)
from simulation.list_world import service
from simulation.list_world.rows import KnownList, encode_row
from simulation.list_world.service import LINES_PER_S, ServiceCount
from simulation.list_world.world import ListWorld

COLD_NODES = 9  # without list readers each would read the list, and once more after a restart


def send_delta(shared: SharedList, delta: ListDelta, origin: int, root: int) -> list[Outgoing]:
    """Deliver a delta in pieces sent by `origin`; returns the messages sent in response."""
    packed, piece_bytes = pack(delta), 256 - PIECE_HEADER_BYTES
    total, out = -(-len(packed.data) // piece_bytes), []
    for n in range(total):
        piece = Piece(*delta.target, delta.base, total, n, packed.checksum, root)
        body = packed.data[n * piece_bytes : (n + 1) * piece_bytes]
        message = Message(MessageKind.PIECE, origin, 9, digest=tuple(piece), body=body)
        out += shared.receive(MS, message)
    return out


def test_a_delta_with_a_wrong_checksum_or_base_changes_nothing() -> None:
    """Forged, early and old deltas arrive, and one over two changes that cancel each other out."""
    shared = SharedList(Membership(0, 5, 1, 1), 5, 2, 256, 1, 0)
    rows = {f"s{i}": encode_row(i) for i in range(8)}
    shared.replica.load_configured_list(41, rows)
    before = shared.replica.version
    forged = ListDelta(41, ListVersion(1, 43, 77), {"s1": encode_row(1, 9)})
    send_delta(shared, forged, 1, 1)
    assert shared.counters["steps that disagree"] == 1
    writer = ListReplica()
    writer.load_configured_list(41, rows)
    first = writer.apply_answer(42, {"s1": encode_row(1, 5)}, False)
    second = writer.apply_answer(43, {"s2": None}, False)
    assert first is not None
    assert second is not None
    # The later delta arrives first: it waits for the other one.
    forwarded = send_delta(shared, second, 1, 1)
    assert {o.to for o in forwarded} == set()
    assert shared.replica.version == before
    assert not shared.updates
    send_delta(shared, first, 1, 1)
    assert shared.replica.version == second.target
    assert [n.rev for n in shared.updates] == [42, 43]
    assert shared.replica.rows == writer.rows
    # Neither an older version nor the same one is applied, whichever node sends it.
    send_delta(shared, ListDelta(FULL_LIST, before, dict(rows)), 2, 2)
    assert shared.replica.version == second.target
    assert len(shared.updates) == 2
    # A row that changed and changed back is not in a delta over both changes. So its checksum is
    # wrong here, and all rows are requested once a reader is known to have them.
    flapped, last = ListReplica(), writer.apply_answer(44, {"s3": None}, False)
    assert last is not None
    send_delta(shared, last, 1, 1)
    flapped.load_configured_list(41, rows)
    flapped.apply_answer(43, {"s1": encode_row(1, 5), "s2": None}, False)
    spanning = flapped.apply_answer(45, {"s4": None}, False)
    assert spanning is not None
    assert spanning.base == 43
    send_delta(shared, spanning, 1, 1)
    assert shared.replica.version == last.target
    assert shared.counters["steps that disagree"] == 2
    shared.caught_up = True
    shared.readers.merge(MS, ReaderRecord(1, 9, 1, ReaderState.READ, *spanning.target, 0))
    shared.tick(2 * MS)
    (request,) = (o.message for o in shared.tick(SECOND) if o.message.kind == MessageKind.WANT)
    assert request.digest[:3] == NO_VERSION
    send_delta(shared, ListDelta(FULL_LIST, spanning.target, dict(flapped.rows)), 1, -1)
    assert shared.replica.rows == flapped.rows
    assert "s3" in shared.replica.rows


def test_pieces_of_a_known_version_are_neither_stored_nor_forwarded() -> None:
    """A duplicate piece arrives after its version has been applied, and must not circulate."""
    shared = SharedList(Membership(0, 5, 1, 1), 5, 2, 256, 1, 0)
    for node in range(1, 5):
        shared._members.on_message(0, node, 9)
    writer = ListReplica()
    delta = writer.apply_answer(41, {f"s{i}": encode_row(i) for i in range(8)}, True)
    assert delta is not None
    assert send_delta(shared, delta, 1, 0)
    assert shared.replica.version == delta.target
    shared.updates.clear()
    assert not send_delta(shared, delta, 1, 0)
    assert not shared.assembler.partial
    assert not shared.updates


def test_a_duplicate_piece_is_forwarded_once() -> None:
    shared = SharedList(Membership(0, 5, 1, 1), 5, 2, 256, 1, 0)
    for node in range(1, 5):
        shared._members.on_message(0, node, 9)
    body = bytes(shared.sender.piece_bytes)
    piece = Piece(1, 41, 7, FULL_LIST, 2, 0, 9, 0)
    message = Message(MessageKind.PIECE, 1, 9, digest=tuple(piece), body=body)
    assert shared.receive(MS, message)
    assert shared.receive(2 * MS, message) == []
    assert shared.counters["pieces twice or unsound"] == 1


def test_a_reader_does_not_push_a_version_that_another_one_pushes() -> None:
    """Both have read one version; the other's first piece arrives before this one's push is due."""
    nodes_by_rank = sorted(range(5), key=reader_rank)
    me, other = nodes_by_rank[1], nodes_by_rank[0]
    for has_received in (False, True):
        shared = SharedList(Membership(me, 5, 1, 1), 5, 2, 256, 1, 0)
        for node in set(nodes_by_rank) - {me}:
            shared._members.on_message(0, node, 9)
        shared.readers.merge(0, ReaderRecord(other, 9, 1, ReaderState.READ, 1, 40, 7, 0))
        shared.on_answer(MS, 41, {"s1": encode_row(1)}, True)
        if has_received:
            piece = Piece(*shared.replica.version, FULL_LIST, 2, 0, 9, other)
            shared.receive(
                2 * MS, Message(MessageKind.PIECE, other, 9, digest=tuple(piece), body=b"x")
            )
        pieces = [o for o in shared.tick(SECOND) if o.message.kind == MessageKind.PIECE]
        assert bool(pieces) != has_received


def test_messages_with_too_few_numbers_are_ignored() -> None:
    shared = SharedList(Membership(0, 5, 1, 1), 5, 2, 256, 1, 0)
    for kind in (MessageKind.PIECE, MessageKind.WANT):
        assert shared.receive(MS, Message(kind, 1, 9, digest=(1, 41, 7), body=b"x")) == []


def test_a_node_answers_only_requests_of_nodes_that_lack_its_version() -> None:
    """It has no list that was read, or none later than that of the requesting node."""
    shared = SharedList(Membership(0, 5, 1, 1), 5, 2, 256, 1, 0)

    def answers(version: ListVersion) -> int:
        request = Message(MessageKind.WANT, 1, 9, digest=PieceRequest(version).numbers())
        return len(shared.receive(MS, request))

    shared.replica.load_configured_list(40, {"s1": encode_row(1)})
    assert not answers(NO_VERSION)  # a list from the configuration, which may be old
    shared.replica.apply_answer(41, {"s2": encode_row(2)}, False)
    assert answers(NO_VERSION)
    assert not answers(shared.replica.version)
    assert not answers(shared.replica.version._replace(rev=42))


def test_each_node_is_reached_once_in_a_readers_tree() -> None:
    for nodes in (2, 5, 6, 40, 200):
        reached = {7 % nodes: 0}
        to_visit = [7 % nodes]
        while to_visit:
            node = to_visit.pop()
            shared = SharedList(Membership(node, nodes, 1, 1), nodes, 2, 256, 1, 0)
            for child in shared.sender.children(7 % nodes):
                assert child not in reached
                reached[child] = reached[node] + 1
                to_visit.append(child)
        assert len(reached) == nodes
        assert max(reached.values()) <= 4


def test_a_dead_nodes_children_are_served_by_its_parent() -> None:
    dead = {0, 3, 4, 17}
    shared_lists = []
    for node in range(40):
        members = Membership(node, 40, 1, 1)
        for other in dead - {node}:
            members.merge(0, 1, MemberRecord(other, 1, MemberStatus.DEAD))
        shared_lists.append(SharedList(members, 40, 2, 256, 1, 0))
    reached, to_visit = {7}, [7]
    while to_visit:
        children = shared_lists[to_visit.pop()].sender.children(7)
        assert not reached & set(children)
        reached |= set(children)
        to_visit += children
    assert reached == set(range(40)) - dead


def test_a_reader_waits_for_the_answer_to_its_first_call() -> None:
    nodes_by_rank = sorted(range(5), key=reader_rank)
    shared = SharedList(Membership(nodes_by_rank[2], 5, 1, 1), 5, 2, 256, 1, 0)
    shared.caught_up = True
    shared._members.on_message(0, nodes_by_rank[0], 9)
    now = INITIAL_TAKEOVER_NS + MS
    shared._members.on_message(now, nodes_by_rank[0], 9)
    shared.tick(now)
    assert shared.is_polling  # no reader has written a record
    for node in nodes_by_rank[:2]:
        shared.readers.merge(now + MS, ReaderRecord(node, 9, 1, ReaderState.POLLING, 0, 0, 0, 0))
    shared.tick(now + 2 * MS)
    assert shared.is_polling
    shared.on_answer(now + 3 * MS, 41, {"s1": encode_row(1)}, True)
    shared.tick(now + 4 * MS)
    assert not shared.is_polling


def test_a_single_reader_can_not_remove_most_of_the_list() -> None:
    """A reader pushes a list without most servers, which a second reader has to confirm."""
    nodes = 5
    members = Membership(0, nodes, 1, 1)
    nodes_by_rank = [n for n in sorted(range(nodes), key=reader_rank) if n != 0]
    shared = SharedList(members, nodes, 2, 256, 1, 0)
    rows = {f"s{i}": encode_row(i) for i in range(8)}
    shared.replica.load_configured_list(41, rows)
    writer = ListReplica()
    writer.load_configured_list(41, rows)
    delta = writer.apply_answer(42, {u: None for u in list(rows)[:6]}, False)
    assert delta is not None
    send_delta(shared, delta, nodes_by_rank[0], nodes_by_rank[0])
    assert shared.replica.version.rev == 41
    assert not shared.updates
    for confirmations, writer_node in enumerate(nodes_by_rank[:2], 1):
        shared.readers.merge(
            2 * MS, ReaderRecord(writer_node, 9, 1, ReaderState.READ, *delta.target, 0)
        )
        shared.tick(3 * MS)
        assert bool(shared.updates) == (confirmations == 2)
    assert shared.replica.version.rev == 42
    assert len(shared.replica.rows) == 2


def assert_within_service_rate(world: ListWorld) -> None:
    """Assert that the list service never exceeded its limit of lines per second."""
    assert max(world.service.lines_by_second.values(), default=0) <= LINES_PER_S


@pytest.mark.parametrize(
    ("nodes", "servers", "loss", "limit"), [(60, 100, 0.0, 2), (120, 270, 0.3, 5)]
)
def test_a_cold_fleet_with_two_readers_reads_two_lists_in_total(
    nodes: int, servers: int, loss: float, limit: int
) -> None:
    world = ListWorld(nodes, servers, 3, 2)
    world.links.loss = loss
    world.start_all()
    assert world.run(limit * SECOND, world.is_current)
    assert world.service.counts[ServiceCount.COMPLETE_LISTS] == 2
    assert not world.service.counts[ServiceCount.REJECTED]
    assert_within_service_rate(world)


def test_without_list_readers_each_node_reads_the_list_itself() -> None:
    world = ListWorld(20, 100, 3, 0)
    world.start_all()
    assert not world.run(9 * SECOND, world.is_current)
    assert world.run(15 * SECOND, world.is_current)
    assert world.service.counts[ServiceCount.COMPLETE_LISTS] == 20
    assert_within_service_rate(world)


@pytest.mark.parametrize("seed", range(4))
def test_readers_that_die_while_they_push_are_replaced(seed: int) -> None:
    world = ListWorld(30, 400, seed, 2)
    world.start_all()
    killed = []

    def is_push_in_progress() -> bool:
        shared_lists = [f.shared_list for f in world.nodes.values() if f.shared_list]
        return any(s.assembler.partial for s in shared_lists) and any(
            s.is_polling for s in shared_lists
        )

    for _ in range(3):
        assert world.run(world.now + 20 * SECOND, is_push_in_progress)
        for node in [
            n for n, f in world.nodes.items() if f.shared_list and f.shared_list.is_polling
        ]:
            world.kill(node)
            killed.append(node)
        for node, gossip_node in world.nodes.items():  # what the readers have pushed is lost too
            world.list_nodes[node].list_client.rows = {}
            assert gossip_node.shared_list is not None
            gossip_node.shared_list.assembler.partial.clear()
            gossip_node.shared_list.replica = ListReplica()
    assert world.run(world.now + 25 * SECOND, world.is_current)
    assert len(killed) >= 4
    assert world.service.counts[ServiceCount.REJECTED] == 0
    for node in killed:
        world.start(node)
    read_before = world.service.counts[ServiceCount.COMPLETE_LISTS]
    assert world.run(world.now + 10 * SECOND, world.is_current)
    # The other nodes got the list from their peers.
    assert world.service.counts[ServiceCount.COMPLETE_LISTS] <= read_before + 2
    assert_within_service_rate(world)


def count_lists_read_while_readers_die(seed: int) -> tuple[int, int]:
    """Run a cold start and kill its readers; returns (complete lists read, killed readers)."""
    world = ListWorld(COLD_NODES, 60, seed, 2)
    world.service.rejection_probability = 0.6
    world.links.loss = 0.1
    world.start_all()
    lists = world.list_nodes
    assert world.run(60 * SECOND, lambda: any(n.list_client.rows for n in lists.values()))
    killed = [
        n for n, node in world.nodes.items() if node.shared_list and node.shared_list.is_polling
    ]
    for node in killed:
        world.kill(node)
    world.service.rejection_probability = 0.3
    assert world.run(world.now + 40 * SECOND, world.is_current)
    for node in killed:
        world.start(node)
    assert world.run(world.now + 40 * SECOND, world.is_current)
    return world.service.counts[ServiceCount.COMPLETE_LISTS], len(killed)


def test_readers_that_die_while_polls_are_rejected_are_replaced_one_for_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The service rejects most polls, a tenth of the messages is lost, and the readers are killed.

    Each rejection and each suspected death makes one further node poll, and a poll that has begun
    is not given up. So a single start may read nearly as many lists as there are nodes. Over many
    starts, no more lists are read than two for the readers, and one for each killed reader.
    """
    monkeypatch.setattr(service, "LINES_PER_S", 60)
    starts = [count_lists_read_while_readers_die(seed) for seed in range(40)]
    assert all(read < COLD_NODES for read, _killed in starts)
    assert sum(read for read, _killed in starts) <= sum(2 + killed for _read, killed in starts)


def test_the_list_survives_a_service_that_rejects_is_down_lags_or_restarts_its_numbers() -> None:
    world = ListWorld(30, 60, 5, 2)
    service = world.service
    service.rejection_probability = 2 / 3
    world.start_all()
    assert world.run(30 * SECOND, world.is_current)
    assert service.counts[ServiceCount.COMPLETE_LISTS] <= 4
    # The service is down for 10 s: the list stays, and the whole fleet makes only a few calls.
    service.rejection_probability, service.down = 0.0, True
    for node in world.list_nodes.values():
        service.disconnect(node.list_client)
    calls = service.counts[ServiceCount.CALLS]
    world.run(world.now + 10 * SECOND)
    assert service.counts[ServiceCount.CALLS] - calls <= 40
    assert world.is_current()
    service.down = False
    service.change({"s3": None, "s90": encode_row(90)})
    assert world.run(world.now + 10 * SECOND, world.is_current)
    # A lagging replica answers with an older list, which no node accepts at once.
    rev = service.revisions.rev
    service.stale_list = KnownList(rev - 5, dict(list(service.rows.items())[:30]))
    for node in world.list_nodes.values():
        service.disconnect(node.list_client)
    clients = [node.list_client for node in world.list_nodes.values()]

    def has_received_older_answer() -> bool:
        return any(client.older_answers.consecutive_older for client in clients)

    # A silent watch is given up after 3.5 s.
    assert world.run(world.now + 5 * SECOND, has_received_older_answer)
    assert all(client.rev == rev for client in clients)
    service.stale_list = None
    # The service restarts its numbers: after some answers all nodes accept and keep the new list.
    service.change({"s4": None}, rev=7)
    assert world.run(world.now + 60 * SECOND, world.is_current)
    epochs = {f.shared_list.replica.version[:2] for f in world.nodes.values() if f.shared_list}
    assert len(epochs) == 1
    assert min(epochs)[0] >= 2
    service.change({"s91": encode_row(91)})
    assert world.run(world.now + 3 * SECOND, world.is_current)
    assert all(client.rev == 8 for client in clients)


def test_both_sides_of_a_partition_read_the_list_and_later_converge() -> None:
    world = ListWorld(30, 60, 6, 2)
    world.start_all()
    assert world.run(5 * SECOND, world.is_current)
    readers_before = {
        n for n, f in world.nodes.items() if f.shared_list and f.shared_list.is_polling
    }
    world.run(world.now + 4 * SECOND)
    minority = {n for n in range(30) if n not in readers_before and n % 2}
    world.links.partition(minority, set(range(30)) - minority)
    world.service.change({f"s{i}": encode_row(i, 2) for i in range(20)})
    assert world.run(world.now + 30 * SECOND, world.is_current)
    world.links.unblock()
    world.service.change({"s0": None, "s77": encode_row(77)})
    assert world.run(world.now + 20 * SECOND, world.is_current)
    world.run(world.now + 10 * SECOND)
    assert {
        n for n, f in world.nodes.items() if f.shared_list and f.shared_list.is_polling
    } == readers_before
    # Every message is lost: each node reads the list itself, as without gossip.
    world.links.loss = 1.0
    world.service.change({"s78": encode_row(78)})
    assert world.run(world.now + 20 * SECOND, world.is_current)
    assert_within_service_rate(world)


def test_frequent_replacements_of_servers_reach_all_nodes_quickly() -> None:
    world = ListWorld(60, 100, 8, 2)
    world.start_all()
    assert world.run(3 * SECOND, world.is_current)
    before = world.service.counts[ServiceCount.LINES]
    times = []
    for i in range(60):
        world.run(world.now + SECOND // 9)
        world.service.change({f"s{i}": None, f"s{100 + i}": encode_row(100 + i)})
        began = world.now
        if i % 6 == 0:
            assert world.run(world.now + 3 * SECOND, world.is_current)
            times.append((world.now - began) / SECOND)
    assert world.run(world.now + 3 * SECOND, world.is_current)
    assert sorted(times)[len(times) // 2] < 0.3
    assert world.service.counts[ServiceCount.LINES] - before <= 2 * 2 * 60 + 20


def test_a_list_from_the_configuration_precedes_every_list_that_was_read() -> None:
    """Nodes start without a list, or with older, later or equal revisions, some with other rows."""
    world = ListWorld(24, 40, 11, 2)
    other = {f"s{i}": encode_row(i, 7) for i in range(20, 60)}
    old = {f"s{i}": encode_row(i) for i in range(30)}
    known = [
        KnownList(0, {}),
        KnownList(35, other),
        KnownList(500, other),
        KnownList(41, other),
        KnownList(35, old),
        KnownList(41, dict(world.service.rows)),
    ]
    world.known_at_start = lambda node: known[node % 6]
    world.start_all()
    assert world.run(6 * SECOND, world.is_current)
    # The readers request all rows, whatever list they start with.
    assert world.service.counts[ServiceCount.COMPLETE_LISTS] == 2
    assert_within_service_rate(world)
    world.service.change({"s3": None})
    assert world.run(world.now + 2 * SECOND, world.is_current)


def test_all_nodes_have_the_list_while_list_readers_are_rolled_out() -> None:
    """Every other node runs an earlier release, reads the list itself and forwards nothing."""
    world = ListWorld(24, 40, 10, 2)
    world.settings = [replace(t, reader_count=0) if t.me % 2 else t for t in world.settings]
    world.start_all()
    assert world.run(20 * SECOND, world.is_current)
    world.service.change({"s3": None, "s90": encode_row(90)})
    assert world.run(world.now + 12 * SECOND, world.is_current)
    current_readers = [
        n for n, f in world.nodes.items() if f.shared_list and f.shared_list.is_polling
    ]
    assert 1 <= len(current_readers) <= 2
    # Nodes of the earlier release read the list themselves and never announce this. Of the others,
    # the readers read it, and the nodes that took over where the earlier release ranks first.
    assert world.service.counts[ServiceCount.COMPLETE_LISTS] <= 12 + 6


def test_a_reader_that_announces_versions_no_node_has_is_distrusted() -> None:
    world = ListWorld(12, 30, 9, 2)
    world.start_all()
    assert world.run(5 * SECOND, world.is_current)
    faulty_reader = next(
        n for n, f in world.nodes.items() if f.shared_list and not f.shared_list.is_polling
    )
    gossip_node = world.nodes[faulty_reader]
    assert gossip_node.shared_list is not None
    record = ReaderRecord(
        faulty_reader, gossip_node.members.incarnation, 99, ReaderState.READ, 5, 10**6, 1, 0
    )
    for node in range(12):
        if node != faulty_reader:
            message = Message(
                MessageKind.GOSSIP,
                faulty_reader,
                gossip_node.members.incarnation,
                records=(record,),
            )
            world.send(node, world.nodes[node].receive(world.clock(node), message))
    world.run(world.now + 8 * SECOND)
    shared_lists = [f.shared_list for f in world.nodes.values() if f.shared_list]
    requests = sum(s.counters["asked for what is missing"] for s in shared_lists)
    assert requests > 10
    world.run(world.now + 3 * SECOND)
    assert sum(s.counters["asked for what is missing"] for s in shared_lists) == requests
    calls = world.service.counts[ServiceCount.COMPLETE_LISTS]
    world.service.change({"s3": None})
    assert world.run(world.now + 3 * SECOND, world.is_current)
    # No node read the complete list again.
    assert world.service.counts[ServiceCount.COMPLETE_LISTS] == calls
    assert sum(s.counters["versions that nobody has"] for s in shared_lists) >= 10
