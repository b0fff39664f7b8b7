#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
go build -trimpath -o ../target/review/drill ./drill
