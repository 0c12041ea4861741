#!/usr/bin/env bash
# Installs the runtime libraries and the packages into target/deps and compiles
# them: a host that compiles its modules at its start takes up to 0.9 MB more.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/deps
if ! cmp -s deploy/requirements.txt target/requirements.txt; then
    python3 -m pip install -q -U --target target/deps \
        -r deploy/requirements.txt
    cp deploy/requirements.txt target/requirements.txt
fi
for package in packages/tier packages/wire packages/daemon platform; do
    name="corianderport_$(basename "$package")"
    rm -rf "target/deps/$name"
    cp -R "$package/src/$name" target/deps/
done
# Compiled files are checked by the hash of their source, since a copy of the
# directory may change the times of the files.
python3 -m compileall -q --invalidation-mode checked-hash \
    target/deps/corianderport_*
