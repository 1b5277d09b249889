#!/bin/sh
# Builds the program of a host into target/ at the root, with an archive of the classes
# that it loads: a start takes half of the processor time with it.
set -eu
cd "$(dirname "$0")/.."
mvn -B -ntp -q -DskipTests -Dcheckstyle.skip -Dspring-javaformat.skip \
	-pl monsoonrelay-host -am package
mkdir -p target
# Ten ports of its own, so that builds at the same time do not take each other's.
training_port=$((17300 + 10 * ($$ % 200)))
# An archive holds for the very file that it was recorded from: the former one goes first.
record() {
	rm -f "target/monsoonrelay-$1.jsa"
	sh deploy/replace.sh "monsoonrelay-$1/target/monsoonrelay-$1-0.1.0-SNAPSHOT-all.jar" "target/monsoonrelay-$1.jar"
	java -XX:ArchiveClassesAtExit="target/monsoonrelay-$1.jsa.new" -Xss512k -XX:+UseSerialGC \
		-XX:TieredStopAtLevel=1 -cp "target/monsoonrelay-$1.jar" "$2" --training-run "$3" >/dev/null 2>&1 &&
		mv -f "target/monsoonrelay-$1.jsa.new" "target/monsoonrelay-$1.jsa" ||
		echo "no class archive for $1, it starts slower" >&2
}
record host org.monsoonrelay.host.HostMain $training_port
