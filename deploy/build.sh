#!/bin/sh
# Puts the pinned libraries and the package itself into target/deps, compiled.
set -eu
stamp=target/deps.txt
mkdir -p target
# Libraries hold machine code: those of another interpreter or kind of machine cannot be loaded.
wanted="$(python3 -c 'import sys, sysconfig; print(sys.version, sysconfig.get_platform())')
$(cat deploy/requirements.txt)"
if [ "$(cat "$stamp" 2>/dev/null)" != "$wanted" ]; then
    rm -rf target/deps "$stamp"
    python3 -m pip install -q --disable-pip-version-check --target target/deps \
        -r deploy/requirements.txt
    python3 -m compileall -q target/deps || true
    printf '%s\n' "$wanted" >"$stamp"
fi
rm -rf target/deps/lotushill
cp -r src/lotushill target/deps/lotushill
python3 -m compileall -q target/deps/lotushill
