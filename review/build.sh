#!/bin/sh
# Builds the stand-in of the platform, the runners and the clients, which plays
# the cases. It needs no network: the module has no dependencies.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOFLAGS=-mod=mod GOWORK=off go build -buildvcs=false -o ../../target/review-standin .
