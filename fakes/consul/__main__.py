"""The program: one agent at one address."""

from __future__ import annotations

import argparse
import asyncio

from fakes.consul import __doc__ as description
from fakes.consul.agent import Agent
from fakes.web import serve, split_address


async def run(listen: str) -> None:
    """Serve until the process ends."""
    server = await serve(Agent().handle, *split_address(listen))
    await server.serve_forever()


def main() -> None:
    """Read the arguments and serve."""
    parser = argparse.ArgumentParser(description=description.splitlines()[0])
    parser.add_argument("--listen", default="127.0.0.1:0")
    asyncio.run(run(parser.parse_args().listen))


if __name__ == "__main__":
    main()
