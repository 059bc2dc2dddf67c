#!/bin/sh
# The stand-ins of the cases are Python programs: there is nothing to build.
exec python3 --version
