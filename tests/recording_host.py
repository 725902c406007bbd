"""A host for a Balancer that records what it was asked to do."""

from __future__ import annotations

from loadbalancer.core import Balancer, Effect, Listing, RequestClass, Settings, State, Update
from loadbalancer.core.balancing.model import MS, SECOND


class Host:
    """Records actions in order; `calls` holds tuples with the action's name first."""

    def __init__(self) -> None:
        self.calls: list[tuple[object, ...]] = []
        self.waits: list[int] = []  # what refused clients were told

    def send(self, request: int, backend: int, timeout: int) -> None:
        self.calls.append(("send", request, backend, timeout))

    def refuse(self, request: int, retry_after: int) -> None:
        self.calls.append(("refuse", request))
        self.waits.append(retry_after)

    def fail(self, request: int) -> None:
        self.calls.append(("fail", request))

    def cancel(self, request: int, attempt: int) -> None:
        self.calls.append(("cancel", request, attempt))

    def set_timer(self, token: int, due: int) -> None:
        self.calls.append(("timer", token, due))

    def watch(self) -> None:
        self.calls.append(("watch",))

    def log(self, text: str) -> None:
        self.calls.append(("log", text))

    def named(self, name: str) -> list[tuple[object, ...]]:
        return [c for c in self.calls if c[0] == name]


PURE = RequestClass("pure", 200 * MS, 1000 * MS, Effect.PURE)
UNSAFE = RequestClass("unsafe", 200 * MS, 1000 * MS, Effect.SIDE_EFFECT, repeat_window=SECOND)
KEYED = RequestClass("keyed", 200 * MS, 1000 * MS, Effect.TOKEN, repeat_window=60 * MS)


def rows(count: int, zone: int = 0, first: int = 100) -> list[Listing]:
    return [Listing(first + i, State.READY, zone) for i in range(count)]


def build(settings: Settings | None = None, count: int = 4, seed: int = 1) -> tuple[Balancer, Host]:
    host = Host()
    balancer = Balancer(
        settings or Settings(classes=(PURE, UNSAFE, KEYED), max_attempts=4), seed, host
    )
    balancer.start(0)
    balancer.on_members(0, Update.CACHED, rows(count))
    return balancer, host
