#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/; needs no network.
set -euo pipefail
cd "$(dirname "$0")/harness"
mkdir -p ../../target
GOWORK=off GOPROXY=off go build -o ../../target/review-harness .
