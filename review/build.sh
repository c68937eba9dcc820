#!/bin/sh
# Run after the build of the deploy file: installs what the fleet's part of the program and the stand-ins need.
# The stand-ins themselves are Python, from this folder and from laurelcourse/standins.
set -eu
cd "$(dirname "$0")/.."
if ! .venv/bin/python -c 'import grpc, google.protobuf, lxml, ortools' 2>/dev/null; then
    .venv/bin/python -m pip -q install -r requirements-gateway.txt
fi
.venv/bin/python -m compileall -q laurelcourse review >/dev/null
