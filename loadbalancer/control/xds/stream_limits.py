"""Bounds on what one stream of a proxy may cost."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import grpc

FIRST_REQUEST_TIMEOUT_S = 10.0
MAX_REQUESTS_PER_S = 200  # of one stream; a proxy that subscribes to everything sends about ten


class RequestRate:
    """Counts a stream's requests by the second."""

    __slots__ = ("_count", "_second")

    def __init__(self) -> None:
        self._second = 0
        self._count = 0

    def exceeded(self) -> bool:
        """Count one more request; whether it is beyond the bound."""
        second = int(asyncio.get_running_loop().time())
        if second == self._second:
            self._count += 1
        else:
            self._second = second
            self._count = 1
        return self._count > MAX_REQUESTS_PER_S


async def first_request(requests: AsyncIterator[Any], context: Any) -> Any:
    """The first request, None at the stream's end; a silent stream is ended after a time.

    Guards the bound on open streams: without it, streams that never send a request use it up,
    and no further proxy is served.
    """
    try:
        return await asyncio.wait_for(anext(aiter(requests), None), FIRST_REQUEST_TIMEOUT_S)
    except TimeoutError:
        text = f"no request within {FIRST_REQUEST_TIMEOUT_S:g} s"
        await context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, text)
