#!/bin/sh
# Builds the stand-ins of the cases into target/review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --release 17 -cp target/monsoonrelay-host.jar -d target/review review/standin/review/*.java
