"""What is counted in a run."""

from __future__ import annotations

from enum import StrEnum


class Count(StrEnum):
    """The keys of a world's counters; the values are their names in benchmarks."""

    REQUESTS = "asked"
    NO_NODE = "no node to ask"
    AT_PAUSED_NODE = "at a stopped node"
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "attempts lost"
    REJECTED = "turned away"  # attempts at a server at its capacity
    SENT_TO_DRAINED = "sent to a drained server"
    SENT_TO_DOWN = "sent to a server that is gone"
    SENT_TO_SILENT = "sent to a silent server"
    SENT_TO_SILENT_FIRST = "sent to a silent server unmet"  # by a node that saw no failure of it
    OVERWHELMED = "falls of cold servers"
