#!/usr/bin/env bash
# Installs the runtime libraries and the packages into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
# A host that compiles its modules at its start takes up to 4 MB more. The
# compiled files are checked by the hash of their source, since a copy of the
# directory may change the times by which they are checked otherwise.
compile() {
    python3 -m compileall -q -f --invalidation-mode checked-hash "$@"
}
mkdir -p target/deps
if ! cmp -s deploy/requirements.txt target/requirements.txt; then
    python3 -m pip install -q -U --target target/deps \
        -r deploy/requirements.txt
    compile target/deps
    cp deploy/requirements.txt target/requirements.txt
fi
for package in packages/tier packages/wire packages/daemon platform; do
    name="corianderport_$(basename "$package")"
    rm -rf "target/deps/$name"
    cp -R "$package/src/$name" target/deps/
    compile "target/deps/$name"
done
