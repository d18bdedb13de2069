#!/bin/bash
# Builds the stand-ins that the scripts start, into target/review/.
set -e
cd "$(dirname "$0")/.."
npx --no-install esbuild review/stand-ins/*.ts --bundle --platform=node \
  --target=node20 --format=cjs --out-extension:.js=.cjs --outdir=target/review \
  --log-level=warning
