"""An observation, a request class and a host for tests of gossip."""

from __future__ import annotations

from loadbalancer.core.balancing.model import MS, SECOND, RequestClass, State
from loadbalancer.core.gossip.messages import Observation

DRAINING = State.DRAINING
CLASS = RequestClass("balance", 200 * MS, SECOND)


def observation(server: int, origin: int, number: int = 1, **results: int) -> Observation:
    """An observation of a server with boot 7, written in incarnation 1 of `origin`."""
    fields = {"failures": 0, "cold": 0, "rejections": 0, "ratio_16ths": 0, "age": 0} | results
    return Observation(server, 7, origin, 1, number, **fields)


class IdleHost:
    """A host of a Balancer that ignores all actions."""

    def __getattr__(self, action: str) -> object:
        return lambda *_args: None
