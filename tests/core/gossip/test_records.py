"""Replicated records: merging is independent of order, and records expire."""

from __future__ import annotations

from itertools import permutations
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.core.balancing.model import SECOND, State
from loadbalancer.core.gossip.messages import DrainRecord, Observation, Record
from loadbalancer.core.gossip.records import OBSERVATION_TTL_NS, RecordKey, RecordStore
from tests.core.gossip.builders import DRAINING, observation

DRAIN_RECORDS = st.builds(
    DrainRecord, st.integers(0, 1), st.sampled_from([0, 7]), st.integers(1, 3),
    st.sampled_from([int(DRAINING), int(State.GONE)]), st.integers(0, 3).map(lambda s: s * SECOND),
)  # fmt: skip
OBSERVATIONS = st.builds(
    Observation, st.integers(0, 1), st.sampled_from([0, 7]), st.integers(0, 9), st.integers(1, 2),
    st.integers(1, 3), st.integers(0, 3), st.integers(0, 1), st.integers(0, 3),
    st.sampled_from([0, 24, 54]), st.integers(0, 3).map(lambda s: s * SECOND),
)  # fmt: skip


def contents(store: RecordStore) -> object:
    """All records and the digest, to compare two stores."""
    rows = {s: sorted(store.records_of_server(s), key=repr) for s in sorted(store.servers())}
    return rows, tuple(store.digest)


@settings(max_examples=300, deadline=None)
@given(st.lists(DRAIN_RECORDS | OBSERVATIONS, max_size=12), st.integers(0, 1 << 30))
def test_merging_is_independent_of_order_and_duplicates(records: list[Record], seed: int) -> None:
    random = Random(seed)
    once, reordered = RecordStore(2), RecordStore(2)
    shuffled = records + random.choices(records, k=5) if records else []
    random.shuffle(shuffled)
    for store, received in ((once, records), (reordered, shuffled)):
        for record in received:
            assert isinstance(record, DrainRecord | Observation)
            store.merge(10 * SECOND, record)
    assert contents(once) == contents(reordered)


def test_every_order_of_drains_and_observations_has_the_same_result() -> None:
    """3 nodes, 2 servers: all orders of six records, and of all five and four of them."""
    written: list[DrainRecord | Observation] = [
        DrainRecord(0, 7, 4, DRAINING, 0), DrainRecord(0, 7, 5, State.GONE, 0),
        DrainRecord(1, 7, 4, DRAINING, 0),
        observation(0, 1, 1, failures=3), observation(0, 1, 2),
        observation(1, 2, 1, failures=2, cold=1),
    ]  # fmt: skip
    results: dict[frozenset[DrainRecord | Observation], set[str]] = {}
    for size in (4, 5, 6):
        for order in permutations(written, size):
            store = RecordStore(1)
            for record in order:
                store.merge(SECOND, record)
            results.setdefault(frozenset(order), set()).add(repr(contents(store)))
    assert len(results) == 15 + 6 + 1  # subsets of four, five and six records
    assert all(len(contents_of) == 1 for contents_of in results.values())


def test_a_record_that_circulates_retains_its_age_and_expires() -> None:
    store = RecordStore(1)
    store.merge(0, observation(0, 1, failures=3))
    assert not store.merge(4 * SECOND, observation(0, 1, failures=3, age=0))
    found = store.get(5 * SECOND, RecordKey(0, 1))
    assert found is not None
    assert found.age == 5 * SECOND
    store.expire(OBSERVATION_TTL_NS)
    assert not store.servers()
    assert store.digest == [0] * len(store.digest)
    assert not store.merge(0, observation(0, 1, failures=3, age=OBSERVATION_TTL_NS))
