"""The program: proxies from its arguments, commands from standard input."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys

from fakes.xds_proxy import __doc__ as description
from fakes.xds_proxy.proxy import Proxy
from fakes.xds_proxy.requests import Identity
from fakes.xds_proxy.script import Script

MAX_COMMAND_BYTES = 1 << 24


def make_proxies(args: argparse.Namespace) -> dict[str, Proxy]:
    """The proxies by the name that commands use."""
    proxies = {}
    for number in range(1, args.count + 1):
        # Proxies with one id are told apart in commands by their number.
        node_id = args.id if args.same_id else f"{args.id}-{number}"
        name = f"{node_id}:{number}" if args.same_id else node_id
        proxies[name] = Proxy(
            Identity(node_id, args.agent, args.zone),
            args.address,
            incremental=args.variant == "incremental",
            light=args.light,
            reconnects=args.reconnect,
        )
    return proxies


async def serve(args: argparse.Namespace) -> None:
    """Carry out commands until standard input ends."""
    script = Script(make_proxies(args))
    reader = asyncio.StreamReader(limit=MAX_COMMAND_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    print("listening on nothing", flush=True)
    while line := await reader.readline():
        print(json.dumps(await script.execute(json.loads(line))), flush=True)
    await script.close()


def main() -> None:
    """Read the arguments and serve."""
    parser = argparse.ArgumentParser(description=description.splitlines()[0])
    parser.add_argument("address")
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--variant", choices=("sotw", "incremental"), default="sotw")
    parser.add_argument("--agent", default="envoy")
    parser.add_argument("--zone", default="east")
    parser.add_argument("--id", default="p", help="node ids are this and a number")
    parser.add_argument("--same-id", action="store_true", help="all have the same node id")
    parser.add_argument("--light", action="store_true", help="endpoints are not decoded")
    parser.add_argument("--reconnect", action="store_true", help="when a stream ends")
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
