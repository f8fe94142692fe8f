#!/bin/sh
# The stand-ins of the cases 4 to 8 are Python 3 scripts of the standard library (review/platform2.py): nothing is built.
exec python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
