#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python scripts that use the standard library only, so there is
# nothing to compile; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common-3/*.py 1[1-5]/*.py <<'P'
import sys
for name in sys.argv[1:]:
    compile(open(name).read(), name, "exec")
P
