"""Tests for the choice of the nodes that read the list."""

from __future__ import annotations

import itertools

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.endpoints.list_readers import (
    FAILED_NS,
    FAILURE_PAUSE_NS,
    INITIAL_TAKEOVER_NS,
    TAKEOVER_NS,
    ListReaders,
    reader_rank,
)
from loadbalancer.core.endpoints.list_versions import (
    ListVersion,
)
from loadbalancer.core.gossip.messages import (
    ReaderRecord,
    ReaderState,
)
from loadbalancer.core.gossip.records import MERGE_RULES

Announcement = tuple[int, ReaderState, int]  # index in rank order, state, age in seconds


def readers_after(me: int, *announcements: Announcement) -> ListReaders:
    """The readers among 6 nodes as node `me` sees them at 100 s, after these announcements."""
    list_readers = ListReaders(me, 6, 2, 0)
    nodes_by_rank = sorted(range(6), key=reader_rank)
    for rank, state, seconds_ago in announcements:
        record = ReaderRecord(nodes_by_rank[rank], 1, 1, state, 0, 41, 7, seconds_ago * SECOND)
        assert list_readers.merge(100 * SECOND, record)
        assert not list_readers.merge(100 * SECOND, record)
    return list_readers


def test_late_records_and_records_of_earlier_incarnations_or_this_node_are_not_merged() -> None:
    """Old records circulate for a while, and must not replace a reader's later record."""
    version = ListVersion(1, 41, 7)
    list_readers = ListReaders(0, 6, 2, 0)
    ttl_ns = MERGE_RULES[ReaderRecord].ttl_ns
    assert not list_readers.merge(SECOND, ReaderRecord(1, 2, 5, ReaderState.READ, *version, ttl_ns))
    assert list_readers.merge(SECOND, ReaderRecord(1, 2, 5, ReaderState.READ, *version, 0))
    for incarnation, number in ((2, 4), (1, 9)):
        late = ReaderRecord(1, incarnation, number, ReaderState.FAILED, 0, 0, 0, 0)
        assert not list_readers.merge(2 * SECOND, late)
    assert list_readers.readers_with(version) == [1]
    assert not list_readers.merge(SECOND, ReaderRecord(0, 9, 9, ReaderState.READ, 9, 9, 9, 0))
    assert list_readers.latest_version() == version


def test_whichever_members_are_alive_the_configured_number_of_them_reads() -> None:
    for nodes, count in itertools.product((1, 2, 3, 5), (1, 2)):
        for members in range(1, 1 << nodes):
            alive = {node for node in range(nodes) if members >> node & 1}
            reading_nodes = [
                node
                for node in alive
                if ListReaders(node, nodes, count, 0).is_chosen(0, alive.__contains__, False)
            ]
            assert len(reading_nodes) == min(count, len(alive)) or nodes == 1


def test_failed_readers_rank_last_and_a_failing_fleet_polls_ever_less() -> None:
    nodes_by_rank = sorted(range(6), key=reader_rank)
    now = 100 * SECOND

    def ranks_that_read(*announcements: Announcement) -> list[int]:
        reading_ranks = []
        for rank, node in enumerate(nodes_by_rank):
            own = [announcement for announcement in announcements if announcement[0] == rank]
            list_readers = readers_after(
                node, *(announcement for announcement in announcements if announcement[0] != rank)
            )
            for _, state, seconds_ago in own:
                list_readers.announce(now - seconds_ago * SECOND, 1, state, ListVersion(0, 41, 7))
            if list_readers.is_chosen(now, lambda _: True, False):
                reading_ranks.append(rank)
        return reading_ranks

    assert ranks_that_read((0, ReaderState.READ, 1), (1, ReaderState.READ, 1)) == [0, 1]
    assert ranks_that_read((0, ReaderState.FAILED, 1), (1, ReaderState.READ, 1)) == [1, 2]
    active_readers = ((2, ReaderState.READ, 1), (4, ReaderState.READ, 1))
    assert ranks_that_read(
        (0, ReaderState.FAILED, 1),
        (1, ReaderState.FAILED, 2),
        (3, ReaderState.FAILED, 1),
        *active_readers,
    ) == [2, 4]
    # After a failure no node begins to poll for a while; the more have failed, the longer.
    assert ranks_that_read((0, ReaderState.FAILED, 0)) == []
    assert (
        ranks_that_read(*((failed_rank, ReaderState.FAILED, 1) for failed_rank in range(4))) == []
    )
    # If all nodes have failed, those that failed first read.
    assert (
        ranks_that_read(
            *(
                (failed_rank, ReaderState.FAILED, 4 if failed_rank > 2 else 3)
                for failed_rank in range(6)
            )
        )
        == []
    )
    last = readers_after(
        nodes_by_rank[5], *((failed_rank, ReaderState.FAILED, 4) for failed_rank in range(5))
    )
    last.announce(now - 5 * SECOND + 1, 1, ReaderState.FAILED, ListVersion(0, 41, 7))
    assert last.is_chosen(now, lambda _: True, True)  # a node that polls already continues
    # If the readers are silent, group after group takes over, sooner if no node has read yet.
    third_node = readers_after(nodes_by_rank[2], (0, ReaderState.READ, 20))
    assert third_node.is_chosen(now, lambda _: True, False)
    assert TAKEOVER_NS < 20 * SECOND
    fifth_node = readers_after(nodes_by_rank[4], (0, ReaderState.READ, 20))
    assert not fifth_node.is_chosen(now, lambda _: True, False)
    third_node_at_start = ListReaders(nodes_by_rank[2], 6, 2, now - INITIAL_TAKEOVER_NS - 1)
    assert third_node_at_start.is_chosen(now, lambda _: True, False)
    assert not ListReaders(nodes_by_rank[2], 6, 2, now - INITIAL_TAKEOVER_NS).is_chosen(
        now, lambda _: True, False
    )
    assert FAILURE_PAUSE_NS < FAILED_NS
