"""Flow control in isolation: windows between a source and a sink, and the buffer budget."""

from __future__ import annotations

import sys
from collections.abc import Callable

from loadbalancer.core.buffer_budget import MAX_PARSED_BYTES, MIN_WINDOW_BYTES, BufferBudget
from loadbalancer.core.memory_account import MB, SMALL_HEAD_BYTES, Holder
from loadbalancer.proxy.flow_control import SMALL_PIECE_BYTES, Flow, append_piece


class Recorder:
    """A source and sink that records its calls and the bytes written to it."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.written = b""

    def pause_flow(self) -> None:
        self.calls.append("pause")

    def resume_flow(self) -> None:
        self.calls.append("resume")

    def flow_write(self, data: bytes) -> None:
        self.written += data

    def flow_end(self) -> None:
        self.calls.append("end")


def test_a_full_window_pauses_its_source_until_half_of_it_is_free() -> None:
    budget, recorder = BufferBudget(0), Recorder()
    flow = Flow(budget, recorder)
    while not flow.paused:
        flow.push(b"x" * 10_000)
    assert flow.buffered > MIN_WINDOW_BYTES
    assert budget.buffered == flow.buffered
    assert not flow.forwarded
    sent = flow.buffered
    flow.attach(recorder)
    assert len(recorder.written) == sent
    assert budget.buffered == 0
    assert flow.forwarded
    flow.block()
    flow.push(b"last")
    flow.finish()
    assert recorder.calls == ["pause", "resume"]
    flow.unblock()
    assert recorder.calls == ["pause", "resume", "end"]
    assert recorder.written.endswith(b"last")


def test_above_the_soft_limit_each_flow_advances_by_one_read_at_a_time() -> None:
    """A flow whose sink has accepted all its bytes may read on, however little memory is free."""
    budget = BufferBudget(0)
    budget.reserve(Holder.CONTENT, budget.soft_limit + 1)
    recorder = Recorder()
    flow = Flow(budget, recorder)
    flow.attach(recorder)
    for _ in range(10):
        flow.block()
        flow.push(b"y" * 1000)
        assert flow.paused
        flow.unblock()
        assert not flow.paused
    assert len(recorder.written) == 10_000


def test_a_discarded_flow_releases_its_bytes_and_resumes_its_source() -> None:
    budget, recorder = BufferBudget(0), Recorder()
    flow = Flow(budget, recorder)
    while not flow.paused:
        flow.push(b"x" * 10_000)
    flow.discard()
    flow.push(b"more")
    assert budget.buffered == 0
    assert recorder.calls == ["pause", "resume"]
    assert recorder.written == b""


def test_what_a_sink_has_taken_and_can_not_write_yet_is_buffered() -> None:
    """Hundreds of slow peers had a read each in their transports, which nothing counted."""
    budget, recorder = BufferBudget(0), Recorder()

    class SlowSink(Recorder):
        def flow_write(self, data: bytes) -> None:
            super().flow_write(data)
            flow.block()

    sink = SlowSink()
    flow = Flow(budget, recorder)
    flow.attach(sink)
    flow.push(b"x" * 1000)
    assert budget.buffered == budget.flows == 1000
    flow.unblock()
    assert budget.buffered == budget.flows == 0
    ends: list[Callable[[], None]] = [lambda: flow.detach(sink), flow.discard]
    for end in ends:
        flow.attach(sink)
        flow.push(b"x" * 1000)
        assert budget.buffered == 1000
        end()
        assert budget.buffered == budget.flows == 0


class Body:
    """An incomplete body that notes how often it is resumed."""

    def __init__(self) -> None:
        self.resumed = 0

    def resume_body(self) -> None:
        self.resumed += 1

    def missing_bytes(self) -> int:
        return MB


def test_content_that_is_still_to_come_counts_before_more_begins() -> None:
    """Hundreds of requests began while little had come of their content, which came later."""
    budget = BufferBudget(64)
    budget.begin(32 * MB)
    bodies = budget.capacity_bytes // MB
    budget.incomplete = dict.fromkeys(Body() for _ in range(bodies))
    assert budget.may_begin(SMALL_HEAD_BYTES, has_content=True)
    budget.reserve(Holder.CONTENT, budget.capacity_bytes - bodies * MB + 1)
    assert not budget.may_begin(SMALL_HEAD_BYTES, has_content=True)
    assert budget.may_begin(SMALL_HEAD_BYTES, has_content=False)


def test_only_as_many_paused_bodies_are_resumed_as_can_be_read() -> None:
    """All of them were resumed with each byte that was freed, and each was read once more."""
    budget = BufferBudget(0)
    bodies = [Body() for _ in range(100)]
    budget.incomplete = dict.fromkeys(bodies)
    budget.reserve(Holder.CONTENT, budget.soft_limit + 1)
    assert [budget.pause_if_needed(body) for body in bodies] == [False] + 99 * [True]
    budget.release(Holder.CONTENT, 1 + 2 * MAX_PARSED_BYTES)
    assert [body.resumed for body in bodies] == [0] + 3 * [1] + 96 * [0]
    budget.resume_paused()  # those resumed had nothing more to send
    assert [body.resumed for body in bodies] == [0] + 6 * [1] + 93 * [0]


def test_one_body_after_the_other_can_not_pass_the_limit_as_a_flow() -> None:
    """The oldest body is not paused; it became long, waited as a flow, and the next was oldest."""
    budget = BufferBudget(0)
    first, second = Body(), Body()
    budget.incomplete = {first: None, second: None}
    budget.reserve_flow(budget.soft_limit + 1)
    assert budget.pause_if_needed(first)
    assert budget.pause_if_needed(second)
    budget.body_finished(first)
    resumed_before = second.resumed
    budget.reserve(Holder.CONTENT, budget.soft_limit)
    budget.release_flow(1)  # flows are within the limit now, though all together are not
    assert (resumed_before, second.resumed) == (0, 1)


def test_a_small_body_is_one_that_each_connection_may_have() -> None:
    budget = BufferBudget(0, 1024)
    assert budget.small_content_bytes * 1024 <= budget.soft_limit
    assert BufferBudget(192, 16).small_content_bytes == 16 << 10


def test_small_pieces_take_no_more_memory_than_their_bytes() -> None:
    pieces: list[bytes] = []
    for _ in range(100_000):
        append_piece(pieces, b"ab")
    append_piece(pieces, b"x" * SMALL_PIECE_BYTES)
    append_piece(pieces, b"c")
    assert b"".join(pieces) == b"ab" * 100_000 + b"x" * SMALL_PIECE_BYTES + b"c"
    assert sum(map(sys.getsizeof, pieces)) + sys.getsizeof(pieces) < 2 * 200_000


def test_a_blocked_sink_gets_nothing_until_it_is_unblocked() -> None:
    """The connection was blocked before the flow began, and took all that came, uncounted."""
    budget, recorder = BufferBudget(0), Recorder()
    flow = Flow(budget, recorder)
    flow.push(b"x")
    flow.attach(recorder, is_blocked=True)
    assert (recorder.written, budget.flows) == (b"", 1)
    flow.unblock()
    assert (recorder.written, budget.flows) == (b"x", 0)
