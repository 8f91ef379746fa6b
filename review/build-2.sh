#!/bin/sh
# Prepares the stand-ins of cases 6 to 10. They are Python 3 without packages; nothing is compiled but
# their byte code, which shows that each file can be read.
set -e
cd "$(dirname "$0")"
for file in standin-2/*.py 6/run.py 7/run.py 8/run.py 9/run.py 10/run.py; do
    if [ -e "$file" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
    fi
done
