#!/usr/bin/env bash
# Builds the stand-in that the cases of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2-standins ./review/standins/platform
