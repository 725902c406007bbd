#!/bin/bash
# Builds what the scripts of cases 6 to 10 start beside the node: the environment of the control
# service and of the stand-ins, as .ci/run builds it. Needs the package mirrors; nothing is built
# later.
set -euo pipefail
cd "$(dirname "$0")/.."
bash .ci/build
stamp=.venv-dev/requirements.txt
if ! cat requirements.txt requirements-control.txt requirements-dev.txt | cmp -s - "$stamp"; then
    rm -rf .venv-dev
    python3 -m venv .venv-dev
    .venv-dev/bin/pip -q install -r requirements.txt -r requirements-control.txt -r requirements-dev.txt
    cat requirements.txt requirements-control.txt requirements-dev.txt > "$stamp"
fi
.venv-dev/bin/python -B -c 'import grpc, envoy.service.discovery.v3.discovery_pb2'
