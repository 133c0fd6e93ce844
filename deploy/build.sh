#!/bin/sh
# Puts the pinned libraries and the package itself into target/deps, compiled.
set -eu
libraries=target/deps.txt
if ! cmp -s deploy/requirements.txt "$libraries"; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check --target target/deps \
        -r deploy/requirements.txt
    python3 -m compileall -q target/deps || true
    cp deploy/requirements.txt "$libraries"
fi
rm -rf target/deps/lotushill
cp -r src/lotushill target/deps/lotushill
python3 -m compileall -q target/deps/lotushill
