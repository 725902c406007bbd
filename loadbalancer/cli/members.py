"""`python -m loadbalancer members FILE`: the merged list, and why each server is in or out.

With --serve it stays and passes the list on to nodes.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import sys
import time
from collections.abc import Sequence
from difflib import get_close_matches
from typing import Any, TextIO
from urllib.parse import quote

from loadbalancer.config.node import parse_address
from loadbalancer.control.consul_relay import serve
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.endpoints.merged_list import Member, Members
from loadbalancer.sources.consul.file import ConsulError, ConsulFile, read_consul
from loadbalancer.sources.consul.merge import MergedList, open_reader
from loadbalancer.sources.http_get import Answer, Call

CALL_S = 5.0


def say(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


async def read_once(file: ConsulFile, seconds: float) -> tuple[Members, bool]:
    """One whole round of every datacentre; False where it did not end in time."""
    done = asyncio.Event()
    merged = MergedList(file, done.set, say, time.time_ns())
    merged.start()
    try:
        await asyncio.wait_for(done.wait(), seconds)
    except TimeoutError:
        return merged.members, False
    finally:
        merged.close()
    return merged.members, True


def line(m: Member, now: int) -> str:
    """One server: where, what is told on and why, and who says what since when."""
    said = ", ".join(
        f"{source} {health.name.lower()} for {(now - since) // SECOND} s"
        for source, health, since in m.words
    )
    return f"{m.uid} {m.host}:{m.port} {m.state.name.lower()} ({m.why}): {said}"


def pass_on(file: ConsulFile, listen: str) -> int:
    """Serve nodes until a signal ends it; 2 where the address can't be used."""
    try:
        asyncio.run(serve(file, parse_address(listen), say, time.time_ns()))
    except (OSError, ValueError) as err:
        print(f"members: --serve: {err}", file=sys.stderr)
        return 2
    except (KeyboardInterrupt, asyncio.CancelledError):
        pass
    return 0


async def ask(file: ConsulFile, path: str, query: str = "") -> list[Any]:
    """One question to the first agent in every datacentre; the answers that can be read."""
    reader = open_reader(file, lambda *_: None, say, 0)
    found = []
    for dc in file.datacentres:
        done: asyncio.Future[Answer | None] = asyncio.get_running_loop().create_future()
        target = f"{path}?dc={quote(dc, safe='')}&stale{query}"
        Call(file.agents[0], target, CALL_S, done.set_result, reader.headers, reader.tls)
        answer = await done
        if answer is not None and answer.status == 200:
            with contextlib.suppress(ValueError, RecursionError):
                found.append(json.loads(answer.body))
    return found


async def close_names(file: ConsulFile) -> list[str]:
    """Services of the catalogue that are named much as the file's is.

    Source: Consul HTTP API, "Catalog": GET /v1/catalog/services answers with tags by name.
    """
    found = await ask(file, "/v1/catalog/services")
    return get_close_matches(
        file.service, {n for one in found if isinstance(one, dict) for n in one}
    )


async def checks(file: ConsulFile, uid: str) -> list[str] | None:
    """One server's checks with what they print, a line each; None without an answer.

    Source: Consul HTTP API, "Health": GET /v1/health/state/any, with a filter.
    """
    name = json.dumps(uid.rpartition("/")[2], ensure_ascii=False)
    only = quote(f"ServiceID == {name}", safe="")
    found = await ask(file, "/v1/health/state/any", f"&filter={only}")
    rows = [row for one in found if isinstance(one, list) for row in one if isinstance(row, dict)]
    keys = ("Node", "CheckID", "Status", "Output")
    out = [" ".join(str(row.get(key, "")) for key in keys).rstrip() for row in rows]
    return out if found else None


def explain(file: ConsulFile, uid: str, out: TextIO) -> int:
    """Print a server's checks; 1 where there are none."""
    rows = asyncio.run(checks(file, uid))
    for row in rows or ():
        print(row, file=out)
    if not rows:
        why = "the agent did not answer" if rows is None else f"{uid!r} has no checks"
        print(f"members: {why}", file=sys.stderr)
    return 0 if rows else 1


def main(words: Sequence[str], out: TextIO = sys.stdout) -> int:
    """Print the list; 2 for a bad file, 1 where Consul did not answer in time."""
    parser = argparse.ArgumentParser(prog="python -m loadbalancer members", description=__doc__)
    parser.add_argument("file", help="a consul.toml")
    parser.add_argument("--seconds", type=float, default=60.0, help="how long to wait for it")
    parser.add_argument(
        "--serve", metavar="HOST:PORT", help="pass the list on to nodes as their discovery"
    )
    parser.add_argument("--why", metavar="ID", help="print one server's checks and their output")
    args = parser.parse_args(words)
    try:
        file = read_consul(args.file)
        if args.why:
            return explain(file, args.why, out)
        if args.serve:
            return pass_on(file, args.serve)
        members, whole = asyncio.run(read_once(file, args.seconds))
    except ConsulError as err:
        print(err, file=sys.stderr)
        return 2
    now = time.monotonic_ns()
    for m in members.members():
        print(line(m, now), file=out)
    if whole and not members.members():
        near = asyncio.run(close_names(file))
        hint = f"; the catalogue has {', '.join(near)}" if near else ""
        print(f"members: no server of {file.service!r} is listed{hint}", file=sys.stderr)
        return 1
    if not whole:
        print(f"members: no whole list within {args.seconds:g} s", file=sys.stderr)
        return 1
    return 0
