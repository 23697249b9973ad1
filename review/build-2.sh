#!/bin/bash
# Builds the stand-ins of the cases 6 to 10; the node is built as the deploy file says.
set -e
cd "$(dirname "$0")/rig-2"
export GOWORK=off GOPROXY=off GOFLAGS=-mod=mod GOTOOLCHAIN=local
go build -o ../../target/review-2-rig .
