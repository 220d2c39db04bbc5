#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -trimpath -tags review2 -o target/stand2 ./review/stand2
