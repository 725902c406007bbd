#!/bin/bash
# Builds the stand-ins that the cases 6 to 10 start, after the build of the deploy file. They are
# Python programs without further dependencies: the project's own in fakes/, and those beside the
# cases.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q fakes review/lib2 review/6 review/7 review/8 review/9 review/10
