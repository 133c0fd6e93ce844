#!/bin/sh
# The stand-ins of the review need the standard library of Python only: nothing is built but their
# bytecode, which shows that they can be read.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
for folder in [0-9]*/; do
    python3 -m compileall -q "$folder"
done
