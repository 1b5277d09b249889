#!/bin/sh
# Builds the program of a host into target/ at the root, with an archive of the classes
# that it loads: a start takes half of the processor time with it. A build that fails
# leaves no program: that of an earlier release is removed first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
rm -f target/monsoonrelay-host.jar target/monsoonrelay-host.jsa
mvn -B -ntp -q -DskipTests -Dcheckstyle.skip -Dspring-javaformat.skip \
	-Dsources.digest="$(sh deploy/sources-digest.sh)" \
	-pl monsoonrelay-host -am package
# Ten ports of its own, so that builds at the same time do not take each other's.
training_port=$((17300 + 10 * ($$ % 200)))
# An archive holds for the very file that it was recorded from.
record() {
	sh deploy/replace.sh "monsoonrelay-$1/target/monsoonrelay-$1-0.1.0-SNAPSHOT-all.jar" "target/monsoonrelay-$1.jar"
	java -XX:ArchiveClassesAtExit="target/monsoonrelay-$1.jsa.new" -Xss512k -XX:+UseSerialGC \
		-XX:TieredStopAtLevel=1 -cp "target/monsoonrelay-$1.jar" "$2" --training-run "$3" >/dev/null 2>&1 &&
		mv -f "target/monsoonrelay-$1.jsa.new" "target/monsoonrelay-$1.jsa" ||
		echo "no class archive for $1, it starts slower" >&2
}
record host org.monsoonrelay.host.HostMain $training_port
