"""The requests of one host, from their admission to the outcome of their last attempt.

A request *ends* when its client has its response, or needs none any more. Its attempts may
run on after that; it is *forgotten* once it has ended and all its attempts have outcomes. A long
response may still be on its way to the client then: `response_delivered` tells when it is not.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.core.memory_account import Holder
from loadbalancer.core.request_ids import RequestIdTable
from loadbalancer.faults import run_logged

if TYPE_CHECKING:
    from loadbalancer.core.buffer_budget import BufferBudget
    from loadbalancer.proxy.exchange import Request

BAD_GATEWAY = 502
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class OpenRequests:
    """The requests that have not been forgotten, by their numbers in this process.

    `request_ids`: the ids, chosen by clients, that no further request may use.
    """

    def __init__(self, budget: BufferBudget) -> None:
        self.budget = budget
        self.requests: dict[int, Request] = {}
        self.open_count = 0  # requests that have not ended
        self.request_ids = RequestIdTable()

    def finish(self, request: Request, status: int, retry_after_ns: int = 0) -> None:
        """Answer a request with an error status, unless it has ended.

        If its client has already received part of a response, that response is aborted, so
        that the client sees it as incomplete.

        Args:
            request: the request.
            status: the status of the response.
            retry_after_ns: value of its Retry-After header, in nanoseconds; 0 for no header.
        """
        if request.ended:
            return
        client, started = request.client, request.started
        self.end(request)
        if client is not None and started:
            client.abort_response()
        elif client is not None:
            client.respond_empty(status, retry_after_ns)

    def fail_all(self) -> None:
        """Fail all requests that are still open, as the last step of a stop."""
        for request in list(self.requests.values()):
            # Logged, so that one that raises doesn't keep the others from their responses.
            run_logged(self.finish, request, BAD_GATEWAY)

    def end(self, request: Request) -> None:
        """End a request: its client has its response, or needs none any more."""
        request.ended = True
        request.client = None
        # This comes before the body is discarded, which may raise. Otherwise the request would
        # count as open forever, and a stop would wait for it up to its time limit.
        self.open_count -= 1
        try:
            if request.flow is not None:
                request.flow.discard()
        finally:
            self.forget(request)

    def forget(self, request: Request) -> None:
        """Remove a request that has ended and has no open attempt; otherwise do nothing."""
        if not request.ended or request.open_attempts:
            return
        if self.requests.pop(request.id, None) is None:
            return
        self._release_id(request)
        request.body = []
        request.head = b""
        # Attempts refer back to their request. Only the garbage collector frees such a cycle, and
        # it runs rarely in this process (see `process.GC_THRESHOLDS`), so memory use would grow.
        request.attempts = []
        self.budget.release_request(request.head_size)
        if request.flow is None:
            self.budget.release(Holder.CONTENT, request.size)

    def response_delivered(self, request: Request) -> None:
        """The connection holds nothing more of a request's response, or has been closed."""
        request.delivering = False
        if request.id not in self.requests:
            self._release_id(request)

    def _release_id(self, request: Request) -> None:
        if not request.delivering:
            until = request.id_in_use_until
            self.request_ids.release(request.client_request_id, request.id, until)
