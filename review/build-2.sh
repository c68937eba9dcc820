#!/bin/sh
# Builds what the cases from 6 on start beside the relay. All stand-ins are Python, the project's own and those of
# `common_2.py`: they are compiled once, to show that they can be. Cases 6 and 8 start relays with the operators' settings,
# which need what `requirements-gateway.txt` lists: it is installed unless it is there.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -c "import cryptography, google.protobuf, grpc, h11, lxml, ortools, securesystemslib, tuf" 2>/dev/null ||
    .venv/bin/python -m pip -q install -r requirements-gateway.txt || exit 2
.venv/bin/python -m compileall -q laurelcourse/standins review/common_2.py review/6 review/7 review/8 review/9 review/10 || exit 2
