#!/bin/sh
# Builds the stand-ins of the second review. It needs the build of the deploy file
# first, and no network.
set -e
cd "$(dirname "$0")/6/standin"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../../target/review-standin-2 .
