#!/bin/sh
# Checks the stand-ins. They are Python programs that use the standard library only, so there is nothing to compile.
cd "$(dirname "$0")" || exit 1
for file in common/standin.py [0-9]/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file" || exit 1
done
python3 -B -c 'import sys; sys.exit(0 if sys.version_info >= (3, 11) else "Python 3.11 or newer is needed")'
