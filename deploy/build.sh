#!/bin/sh
# Builds the program of a host into target/ at the root, with an archive of the classes
# that it loads: a start takes half of the processor time with it. A build that fails
# leaves no program: that of an earlier release is removed first.
set -eu
cd "$(dirname "$0")/.."
rm -f target/monsoonrelay-host.jar target/monsoonrelay-host.jsa
mvn -B -ntp -q -DskipTests -Dcheckstyle.skip -Dspring-javaformat.skip \
	-Dsources.digest="$(sh deploy/sources-digest.sh)" \
	-pl monsoonrelay-host -am package
# Ten ports of its own, so that builds at the same time do not take each other's.
training_port=$((17300 + 10 * ($$ % 200)))
java -XX:ArchiveClassesAtExit=target/monsoonrelay-host.jsa.new -Xss512k -XX:+UseSerialGC \
	-XX:TieredStopAtLevel=1 -cp target/monsoonrelay-host.jar org.monsoonrelay.host.HostMain \
	--training-run $training_port >/dev/null 2>&1 &&
	mv -f target/monsoonrelay-host.jsa.new target/monsoonrelay-host.jsa ||
	echo "no class archive, the program starts slower" >&2
