"""A gRPC topup server that answers every unary call with its own name.

python -m fakes.topup_grpc --listen 127.0.0.1:0 --name s-1
"""

from __future__ import annotations

import argparse
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import grpc

from fakes.web import split_address

THREADS = 4


class AnyMethod(grpc.GenericRpcHandler):  # type: ignore[misc]  # grpc has no types
    """Serves every method; bodies are bytes."""

    def __init__(self, name: str) -> None:
        self._handler = grpc.unary_unary_rpc_method_handler(lambda _request, _: name.encode())

    def service(self, _details: Any) -> Any:
        """The handler of a call."""
        return self._handler


def main() -> None:
    """Read the arguments and serve."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--name", required=True)
    args = parser.parse_args()
    host, port = split_address(args.listen)
    server = grpc.server(ThreadPoolExecutor(THREADS), options=[("grpc.so_reuseport", 0)])
    server.add_generic_rpc_handlers((AnyMethod(args.name),))
    print(f"listening on {host}:{server.add_insecure_port(f'{host}:{port}')}", flush=True)
    server.start()
    server.wait_for_termination()


if __name__ == "__main__":
    main()
