#!/bin/sh
# Builds the stand-ins of the cases: they are Python files, and need the environment of the deploy file.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/lib
