#!/bin/sh
# Runs the case in a folder. Usage: run.sh FOLDER
if [ ! -f "$1/../../target/carawayhoist-platform.cjs" ]; then
	echo 'The programs are not built: run the build of the deploy file first.' >&2
	exit 2
fi

exec node "$1/case.js"
