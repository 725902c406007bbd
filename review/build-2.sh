#!/bin/bash
# Builds the stand-ins that the cases 6 to 10 start, after the build of the deploy file. They are
# Python programs: the project's own in fakes/, and those beside the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q fakes review/lib2 review/lib3 review/{6,7,8,9,10}
