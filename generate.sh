#!/usr/bin/env bash
# Generate the inner protocol's code again; needs grpcio-tools 1.85.1 and
# mypy-protobuf in the active environment. The output is committed.
set -eu
cd "$(dirname "$0")/packages/wasabideck_wire"
python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. --grpclib_python_out=. \
    wasabideck_wire/inner.proto
