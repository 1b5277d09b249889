#!/bin/sh
# Puts the program of a host into target/ at the root: deploy/install.sh FROM. An archive of
# its classes holds for the very file that it was recorded from, so the former one goes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
rm -f target/monsoonrelay-host.jsa
sh deploy/replace.sh "$1" target/monsoonrelay-host.jar
