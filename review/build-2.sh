#!/bin/sh
# Bundles the stand-ins of the cases 4 and later into target/review-2/, with the
# esbuild that `npm ci` installed.
set -eu
cd "$(dirname "$0")/.."
exec node review/build-stand-ins-2.cjs
