#!/usr/bin/env bash
# Builds every stand-in of the cases into review/bin. Needs no network: the stand-ins have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOWORK=off GOTOOLCHAIN=local GOPROXY=off go build -o ../bin/ ./...
