"""Which nodes read the list."""

from __future__ import annotations

import itertools

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.endpoints.list_readers import (
    FAILED_NS,
    FIRST_STEP_NS,
    PAUSE_NS,
    STALE_NS,
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

Sign = tuple[int, ReaderState, int]  # place by rank, state, seconds ago


def readers(me: int, *signs: Sign) -> ListReaders:
    """The readers among 6 nodes as node `me` sees them after these signs, at 100 s."""
    found = ListReaders(me, 6, 2, 0)
    order = sorted(range(6), key=reader_rank)
    for place, state, ago in signs:
        record = ReaderRecord(order[place], 1, 1, state, 0, 41, 7, ago * SECOND)
        assert found.merge(100 * SECOND, record)
        assert not found.merge(100 * SECOND, record)
    return found


def test_a_record_that_is_late_of_an_earlier_incarnation_or_of_this_node_is_not_merged() -> None:
    """Records go round for a while: what was true of a reader before must not become so again."""
    version = ListVersion(1, 41, 7)
    found = ListReaders(0, 6, 2, 0)
    ttl_ns = MERGE_RULES[ReaderRecord].ttl_ns
    assert not found.merge(SECOND, ReaderRecord(1, 2, 5, ReaderState.READ, *version, ttl_ns))
    assert found.merge(SECOND, ReaderRecord(1, 2, 5, ReaderState.READ, *version, 0))
    for incarnation, number in ((2, 4), (1, 9)):
        late = ReaderRecord(1, incarnation, number, ReaderState.FAILED, 0, 0, 0, 0)
        assert not found.merge(2 * SECOND, late)
    assert found.nodes_with(version) == [1]
    assert not found.merge(SECOND, ReaderRecord(0, 9, 9, ReaderState.READ, 9, 9, 9, 0))
    assert found.latest_version() == version


def test_with_any_members_alive_the_configured_number_reads() -> None:
    for nodes, count in itertools.product((1, 2, 3, 5), (1, 2)):
        for members in range(1, 1 << nodes):
            alive = {n for n in range(nodes) if members >> n & 1}
            reading = [
                n
                for n in alive
                if ListReaders(n, nodes, count, 0).is_chosen(0, alive.__contains__, False)
            ]
            assert len(reading) == min(count, len(alive)) or nodes == 1


def test_failed_readers_rank_behind_and_a_failing_fleet_polls_less_and_less() -> None:
    order = sorted(range(6), key=reader_rank)
    now = 100 * SECOND

    def reading(*signs: Sign) -> list[int]:
        reading_places = []
        for place, node in enumerate(order):
            own = [sign for sign in signs if sign[0] == place]
            found = readers(node, *(sign for sign in signs if sign[0] != place))
            for _, state, ago in own:
                found.announce(now - ago * SECOND, 1, state, ListVersion(0, 41, 7))
            if found.is_chosen(now, lambda _: True, False):
                reading_places.append(place)
        return reading_places

    assert reading((0, ReaderState.READ, 1), (1, ReaderState.READ, 1)) == [0, 1]
    assert reading((0, ReaderState.FAILED, 1), (1, ReaderState.READ, 1)) == [1, 2]
    others = ((2, ReaderState.READ, 1), (4, ReaderState.READ, 1))
    assert reading(
        (0, ReaderState.FAILED, 1), (1, ReaderState.FAILED, 2), (3, ReaderState.FAILED, 1), *others
    ) == [2, 4]
    # After a failure nobody begins for a while, the longer the more have failed.
    assert reading((0, ReaderState.FAILED, 0)) == []
    assert reading(*((p, ReaderState.FAILED, 1) for p in range(4))) == []
    # Where all have failed, those whose failure is longest ago read.
    assert reading(*((p, ReaderState.FAILED, 4 if p > 2 else 3) for p in range(6))) == []
    last = readers(order[5], *((p, ReaderState.FAILED, 4) for p in range(5)))
    last.announce(now - 5 * SECOND + 1, 1, ReaderState.FAILED, ListVersion(0, 41, 7))
    assert last.is_chosen(now, lambda _: True, True)  # a node that polls already goes on
    # Where the chosen are silent, group after group steps in, sooner while nobody has read.
    late = readers(order[2], (0, ReaderState.READ, 20))
    assert late.is_chosen(now, lambda _: True, False)
    assert STALE_NS < 20 * SECOND
    later = readers(order[4], (0, ReaderState.READ, 20))
    assert not later.is_chosen(now, lambda _: True, False)
    first = ListReaders(order[2], 6, 2, now - FIRST_STEP_NS - 1)
    assert first.is_chosen(now, lambda _: True, False)
    assert not ListReaders(order[2], 6, 2, now - FIRST_STEP_NS).is_chosen(
        now, lambda _: True, False
    )
    assert PAUSE_NS < FAILED_NS
