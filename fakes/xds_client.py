"""grpcio's own xDS client, driven by lines: a peer that nobody here wrote.

    GRPC_XDS_BOOTSTRAP_CONFIG=... python -m fakes.xds_client xds:///app.svc

Each line on standard input is `METHOD COUNT`; the answer is one JSON object: the number of
calls by the server that answered them, or by the status with which they failed.
"""

from __future__ import annotations

import json
import sys
from collections import Counter

import grpc

DEADLINE_S = 10.0


def main() -> None:
    """Make the calls that standard input asks for."""
    channel = grpc.insecure_channel(sys.argv[1])
    print("listening on nothing", flush=True)
    for line in sys.stdin:
        method, count = line.split()
        call = channel.unary_unary(method)
        outcomes: Counter[str] = Counter()
        for _ in range(int(count)):
            try:
                server = call(b"", timeout=DEADLINE_S, wait_for_ready=True).decode()
                outcomes[server] += 1
            except grpc.RpcError as err:
                outcomes[err.code().name] += 1
        print(json.dumps(outcomes), flush=True)


if __name__ == "__main__":
    main()
