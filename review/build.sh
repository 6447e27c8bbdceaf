#!/bin/sh
# Builds the stand-ins of the cases. They are plain Python 3 with its standard library, so this only compiles them in
# memory to find out here, and not in a run, that they can't be used.
set -eu
cd "$(dirname "$0")"
python3 -B - standin/*.py [1-3]/*.py <<'PY'
import sys
if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or newer is needed")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
PY
cd ..
for file in node/target/spanrill-node.jar node/target/node.jsa; do
    [ -f "$file" ] || { echo "$file is missing: run the build of deploy/balancer.toml first" >&2; exit 2; }
done
