#!/bin/sh
# Puts a copy of FROM in the place of TO: deploy/replace.sh FROM TO. A process that has the
# former file open or mapped keeps it whole; one whose class archive is written over in
# place is ended by the kernel (SIGBUS, exit code 134).
set -eu
cp "$1" "$2.new"
mv -f "$2.new" "$2"
