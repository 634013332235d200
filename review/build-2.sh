#!/bin/sh
# The stand-ins of the second review need nothing but python3.11: checks that they compile.
set -eu
cd "$(dirname "$0")"
for source in world_2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    [ ! -e "$source" ] || python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$source"
done
