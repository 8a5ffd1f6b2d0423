#!/bin/sh
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# What was sent, answered and run is written to record.txt.
cd "$(dirname "$0")" || exit 2
echo "TROUBLE=${TROUBLE:-1}" > record.txt || exit 2
node case.mjs >> record.txt
