"""The requests of one host, from their admission to the outcome of their last attempt.

A request *ends* when its client has its answer, or is owed none any more. Its attempts may
go on after that; it is *forgotten* once it has ended and the last of them is settled.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.faults import run_logged

if TYPE_CHECKING:
    from loadbalancer.proxy.exchange import Request
    from loadbalancer.proxy.flow_control import BufferBudget

BAD_GATEWAY = 502
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class OpenRequests:
    """The requests that have not been forgotten, by their numbers in this process.

    `open_request_ids`: the ids that clients gave those that have not ended.
    `other_process_request_ids`: the same of the process before or after this one, while both
    are one node.
    """

    def __init__(self, budget: BufferBudget) -> None:
        self.budget = budget
        self.requests: dict[int, Request] = {}
        self.open_count = 0  # of those that have not ended
        self.open_request_ids: set[bytes] = set()
        self.other_process_request_ids: set[bytes] = set()

    def finish(self, request: Request, status: int, retry_after_ns: int = 0) -> None:
        """Give a request its final answer without service, unless it has ended.

        A client that has a part of a response sees that as incomplete instead.

        Args:
            request: the request.
            status: the status of the answer.
            retry_after_ns: when the client may come again, in nanoseconds; 0 for no such field.
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
        """At the very end of a stop: fail all requests that are still open."""
        for request in list(self.requests.values()):
            run_logged(self.finish, request, BAD_GATEWAY)  # the others get their answers

    def end(self, request: Request) -> None:
        """Note that a request's client has its answer, or is owed none any more."""
        request.ended = True
        request.client = None
        # Counted before its body is discarded: where that raises, the request would count as open
        # for good, hold a stop to its last moment, and have its id rejected as open already.
        self.open_count -= 1
        self.open_request_ids.discard(request.client_request_id)
        if request.flow is not None:
            request.flow.discard()
        self.forget(request)

    def forget(self, request: Request) -> None:
        """Drop a request that has ended and has no attempt open."""
        if not request.ended or request.open_attempts:
            return
        if self.requests.pop(request.id, None) is None:
            return
        request.body = []
        # Failure: attempts refer back to their request, and objects in a cycle are freed by
        # the garbage collector alone. It runs rarely here, and memory would grow meanwhile.
        request.attempts = []
        if request.flow is None:
            self.budget.release(request.size)
