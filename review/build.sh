#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/; needs no network.
set -euo pipefail
cd "$(dirname "$0")/harness"
GOWORK=off GOFLAGS="${GOFLAGS:-} -mod=mod" GOPROXY=off go build -o ../../target/review-harness .
