package org.monsoonrelay.systemtests.host;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class InstalledProgramTests {

	private static final Path INSTALLED = Path.of("..", "target", "monsoonrelay-host.jar");

	/**
	 * Guards against starting the program of another release from a tree in which all
	 * modules were built, but not by {@code deploy/build.sh}.
	 */
	@Test
	void theProgramThatTheDeployFileStartsIsTheOneOfThisBuild() throws IOException {
		assertThat(Files.mismatch(INSTALLED, SoakHost.JAR)).isEqualTo(-1);
	}

}
