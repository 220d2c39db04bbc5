#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into review/bin. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOTOOLCHAIN=local GOFLAGS= GOWORK=off go build -buildvcs=false -o ../bin/stand .
