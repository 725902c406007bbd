"""Limits on the requests of a proxy's stream."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import grpc

FIRST_REQUEST_TIMEOUT_S = 10.0
# On one stream. A proxy that subscribes to all resources sends about ten.
MAX_REQUESTS_PER_S = 200


class RequestRate:
    """Counts the requests of a stream in the current second."""

    __slots__ = ("_count", "_second")

    def __init__(self) -> None:
        self._second = 0
        self._count = 0

    def exceeded(self) -> bool:
        """Count one more request, and return whether it exceeds the limit."""
        second = int(asyncio.get_running_loop().time())
        if second == self._second:
            self._count += 1
        else:
            self._second = second
            self._count = 1
        return self._count > MAX_REQUESTS_PER_S


async def first_request(requests: AsyncIterator[Any], context: Any) -> Any:
    """Return a stream's first request, or None if the stream ends before it.

    A stream without a request is aborted after a timeout. Otherwise streams that never send a
    request could use up the limit on open streams, and no further proxy would be served.
    """
    try:
        return await asyncio.wait_for(anext(aiter(requests), None), FIRST_REQUEST_TIMEOUT_S)
    except TimeoutError:
        text = f"no request within {FIRST_REQUEST_TIMEOUT_S:g} s"
        await context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, text)
