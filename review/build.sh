#!/usr/bin/env bash
# The stand-ins are JavaScript and need no build; this checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in ./*.js ./*/run.js; do
	node --check "$file"
done
