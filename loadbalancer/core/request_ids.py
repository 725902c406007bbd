"""Which request ids, chosen by clients, no further request may use at the moment; no I/O, no clock.

Two requests with one id may be taken for one: a backend that drops repeats by id would give one
of them the other's response, and one that doesn't would execute an unsafe request a second time.
So an id is in use for as long as its request may still have an effect:

1. from the request's admission until its client has the last byte of its response and each of
   its attempts has an outcome;
2. if it is unsafe and its client left without the whole response, for the request's time limit
   from then on: the backend has executed the request, or may yet, and nobody was told so;
3. in either process of the node during an upgrade. If the other process ends, what it still
   executed is in use for a time limit more.

An id is released by the request that uses it, and by no other.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable


class RequestIdTable:
    """The ids in use in this process and, during an upgrade, in the other process of the node.

    `on_begin` and `on_release` are called with each id that this process begins or ceases to use.
    """

    __slots__ = ("_other_process", "_owners", "_retained", "on_begin", "on_release")

    def __init__(self) -> None:
        self._owners: dict[bytes, int] = {}  # the requests that use the ids
        # Ids without a request in this process, with the time until which they are in use, in
        # nanoseconds of the monotonic clock.
        self._retained: dict[bytes, int] = {}
        self._other_process: set[bytes] = set()
        self.on_begin: Callable[[bytes], None] | None = None
        self.on_release: Callable[[bytes], None] | None = None

    def in_use(self, request_id: bytes, now: int) -> bool:
        """Whether a request with this id may not be admitted at `now`, in nanoseconds."""
        return (
            request_id in self._owners
            or request_id in self._other_process
            or self._retained.get(request_id, now) > now
        )

    def own(self) -> list[bytes]:
        """Return the ids in use in this process."""
        return [*self._owners, *self._retained]

    def other_process(self) -> set[bytes]:
        """Return the ids in use in the other process."""
        return set(self._other_process)

    def begin(self, request_id: bytes, request: int) -> None:
        """Put an id into use; `request` is the number of its request."""
        self._owners.setdefault(request_id, request)
        # Its time is over. Left here, its expiry would report the id as free while it is in use.
        self._retained.pop(request_id, None)
        if self.on_begin is not None:
            self.on_begin(request_id)

    def release(self, request_id: bytes, request: int, until: int = 0) -> None:
        """End the use of an id by a request; does nothing if another request uses it.

        Args:
            request_id: the id.
            request: the number of the request.
            until: until when the id stays in use, in nanoseconds; 0 for no longer.
        """
        if self._owners.get(request_id) != request:
            return
        del self._owners[request_id]
        if until:
            self._retained[request_id] = until
        elif self.on_release is not None:
            self.on_release(request_id)

    def expire(self, now: int) -> None:
        """Release the ids whose time is over at `now`, in nanoseconds."""
        for request_id in [key for key, until in self._retained.items() if until <= now]:
            del self._retained[request_id]
            if self.on_release is not None:
                self.on_release(request_id)

    def replace_other_process(self, request_ids: Iterable[bytes]) -> None:
        """Take over the complete list of the ids that the other process uses."""
        self._other_process = set(request_ids)

    def update_other_process(self, begun: Iterable[bytes], released: Iterable[bytes]) -> None:
        """Apply what has changed in the other process."""
        self._other_process.update(begun)
        self._other_process.difference_update(released)

    def end_other_process(self, until: int) -> None:
        """Keep the ids of the other process, which has ended, in use until this time in ns."""
        for request_id in self._other_process:
            self._retained[request_id] = until
        self._other_process = set()
        self.on_begin = self.on_release = None
