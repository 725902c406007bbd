"""Flow control in isolation: windows between a source and a sink, and the buffer budget."""

from __future__ import annotations

from loadbalancer.proxy.flow_control import MIN_WINDOW_BYTES, BufferBudget, Flow


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
    budget.reserve(budget.soft_limit + 1)
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
