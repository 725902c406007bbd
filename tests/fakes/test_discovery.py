"""The fake discovery service: its answers are of one version each."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from fakes.discovery import Discovery, target
from fakes.web import Request

LIST_PATH = "/registry/instances"
LINES = 12  # a second: a list of six servers takes half of one


def rows(first: int) -> list[dict[str, Any]]:
    return [target(f"s-{number}", "127.0.0.1:1") for number in range(first, first + 6)]


async def call(
    discovery: Discovery, path: str, query: str = "", method: str = "GET", body: object = None
) -> Any:
    request = Request(method, path, query, {}, json.dumps(body).encode())
    reply = await discovery.handle(request)
    return json.loads(reply.body) if reply.body else None


def test_an_answer_has_the_rows_of_the_version_that_it_names() -> None:
    """The list changes while a call waits for its turn.

    An answer with the rows from before under the new version would be corrected under the same
    version by the next one: for its readers, the service would have restarted its versions.
    """

    async def run() -> None:
        discovery = Discovery(rows(0), LINES)
        waiting = asyncio.create_task(call(discovery, LIST_PATH))
        await asyncio.sleep(0)
        await call(discovery, "/standin/targets", method="POST", body=rows(2))
        before = await waiting
        assert (before["rev"], before["targets"]) == (1, rows(0))
        delta = await call(discovery, LIST_PATH, "from=1")
        assert (delta["rev"], delta["all"]) == (2, False)
        after = await call(discovery, LIST_PATH)
        assert (after["rev"], after["targets"]) == (2, rows(2))

    asyncio.run(run())
