#!/usr/bin/env bash
# Installs the runtime libraries and the packages into target/deps.
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
