#!/bin/sh
# Prints a digest of the files that the program of a host is built from, in a checkout of
# any release: the program names it when it starts and when it takes the pool over.
set -eu
cd "$(dirname "$0")/.."
find pom.xml platform/pom.xml platform/src/main monsoonrelay-*/pom.xml monsoonrelay-*/src/main -type f |
	LC_ALL=C sort | xargs sha256sum | sha256sum | cut -c1-12
