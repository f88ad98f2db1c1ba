#!/usr/bin/env bash
# The stand-ins of the cases are Python modules that need its standard library only (Meson, which the build needs,
# brings Python): there is nothing to compile. Checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - lib/*.py [0-9]/*.py <<'END'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as f:
        compile(f.read(), path, "exec")
END
