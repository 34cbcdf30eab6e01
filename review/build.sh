#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The build of the deploy file builds the gateways.
set -e
cd "$(dirname "$0")/.."
export GOFLAGS=-buildvcs=false
go build -o target/review/ ./review/cases
