"""grpcio's own xDS client, driven by lines: a peer that nobody here wrote.

    GRPC_XDS_BOOTSTRAP_CONFIG=... python -m fakes.xds_client xds:///app.svc

Each line on standard input is `METHOD COUNT`; the answer is one JSON object, calls by
who answered them or by the status they failed with.
"""

from __future__ import annotations

import json
import sys
from collections import Counter

import grpc

DEADLINE_S = 10.0


def main() -> None:
    channel = grpc.insecure_channel(sys.argv[1])
    print("listening on nothing", flush=True)
    for line in sys.stdin:
        method, count = line.split()
        call = channel.unary_unary(method)
        seen: Counter[str] = Counter()
        for _ in range(int(count)):
            try:
                seen[call(b"", timeout=DEADLINE_S, wait_for_ready=True).decode()] += 1
            except grpc.RpcError as err:
                seen[err.code().name] += 1
        print(json.dumps(seen), flush=True)


if __name__ == "__main__":
    main()
