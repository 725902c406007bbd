#!/bin/bash
# Builds the stand-ins that the cases 6 to 15 start, after the build of the deploy file. They are
# Python programs: the project's own in fakes/, and those beside the cases. Only case 13 needs more,
# the environment of the control service, which .ci/run builds too.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q fakes review/lib2 review/lib3 review/{6,7,8,9,10,11,12,13,14,15}
stamp=.venv-dev/requirements.txt
if ! cat requirements.txt requirements-control.txt requirements-dev.txt | cmp -s - "$stamp"; then
    rm -rf .venv-dev
    python3 -m venv .venv-dev &&
        .venv-dev/bin/pip -q install -r requirements.txt -r requirements-control.txt -r requirements-dev.txt &&
        cat requirements.txt requirements-control.txt requirements-dev.txt > "$stamp" ||
        echo "build-2.sh: no environment of the control service, case 13 can't run" >&2
fi
