"""Flow control alone: windows between a source and a sink, within one budget."""

from __future__ import annotations

from loadbalancer.proxy.flow_control import MIN_WINDOW_BYTES, BufferBudget, Flow


class Recorder:
    """A source and a sink that write down what is asked of them."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.got = b""

    def pause_flow(self) -> None:
        self.calls.append("pause")

    def resume_flow(self) -> None:
        self.calls.append("resume")

    def flow_write(self, data: bytes) -> None:
        self.got += data

    def flow_end(self) -> None:
        self.calls.append("end")


def test_a_full_window_pauses_its_source_until_half_has_gone() -> None:
    budget, ends = BufferBudget(0), Recorder()
    flow = Flow(budget, ends)
    while not flow.paused:
        flow.push(b"x" * 10_000)
    assert flow.buffered > MIN_WINDOW_BYTES
    assert budget.buffered == flow.buffered
    assert not flow.forwarded
    sent = flow.buffered
    flow.attach(ends)
    assert len(ends.got) == sent
    assert budget.buffered == 0
    assert flow.forwarded
    flow.block()
    flow.push(b"last")
    flow.finish()
    assert ends.calls == ["pause", "resume"]
    flow.unblock()
    assert ends.calls == ["pause", "resume", "end"]
    assert ends.got.endswith(b"last")


def test_over_the_budget_each_flow_still_moves_read_by_read() -> None:
    """However tight it is, a flow whose sink takes what it holds may read on."""
    budget = BufferBudget(0)
    budget.reserve(budget.soft_limit + 1)
    ends = Recorder()
    flow = Flow(budget, ends)
    flow.attach(ends)
    for _ in range(10):
        flow.block()
        flow.push(b"y" * 1000)
        assert flow.paused
        flow.unblock()
        assert not flow.paused
    assert len(ends.got) == 10_000


def test_a_flow_that_is_dropped_gives_back_what_it_held() -> None:
    budget, ends = BufferBudget(0), Recorder()
    flow = Flow(budget, ends)
    while not flow.paused:
        flow.push(b"x" * 10_000)
    flow.discard()
    flow.push(b"more")
    assert budget.buffered == 0
    assert ends.calls == ["pause", "resume"]
    assert ends.got == b""
