package org.monsoonrelay.systemtests.host;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.monsoonrelay.standin.Await;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against starts that read and verify hundreds of classes from the program's jar,
 * because the training run that records the class archive did not load them.
 */
class ClassArchiveTests {

	/** Classes of rare paths, as a change of the settings, need not be recorded. */
	private static final int MOST_FROM_JAR = 20;

	private static final int FIRST_PORT = 20_000;

	private static final int PORTS = 10;

	private static final int PLACES = 200;

	private static final int PLATFORM_PORT = 8169;

	@TempDir
	private Path folder;

	private Process java(Path output, String... arguments) throws IOException {
		List<String> command = new ArrayList<>(
				List.of("java", "-Xss512k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
		command.addAll(List.of(arguments));
		ProcessBuilder builder = new ProcessBuilder(command);
		builder.environment().put("MONSOONRELAY_NODE_FILE", this.folder.resolve("settings.json").toString());
		return builder.redirectErrorStream(true).redirectOutput(output.toFile()).start();
	}

	@Test
	void aStartFindsItsClassesInTheArchiveOfATrainingRun() throws Exception {
		long pid = ProcessHandle.current().pid();
		String archive = this.folder.resolve("host.jsa").toString();
		int port = FIRST_PORT + PORTS * (int) (pid % PLACES);
		Process training = java(this.folder.resolve("training.log"), "-XX:ArchiveClassesAtExit=" + archive, "-cp",
				SoakHost.JAR.toString(), SoakHost.MAIN, "--training-run", String.valueOf(port));
		assertThat(training.waitFor()).isZero();

		String net = "127.%d.%d.".formatted(1 + pid % 250, pid / 250 % 250);
		Path output = this.folder.resolve("host.log");
		Path classes = this.folder.resolve("classes.log");
		SoakHost.writeSettings(this.folder.resolve("settings.json"), "host-0", net + 10, net + 1 + ":" + PLATFORM_PORT);
		try (PlatformFake platform = new PlatformFake(net + 1, PLATFORM_PORT, 2)) {
			Process host = java(output, "-XX:SharedArchiveFile=" + archive, "-Xlog:class+load:file=" + classes, "-cp",
					SoakHost.JAR.toString(), SoakHost.MAIN);
			try {
				Await.until("the host owns the pool", () -> text(output).contains("\"event\":\"OwnershipSettled\""));
			}
			finally {
				host.destroyForcibly().waitFor();
			}
		}

		try (Stream<String> loaded = Files.lines(classes)) {
			assertThat(loaded.filter((line) -> line.contains("source: file:") || line.contains("source: jar:")))
				.hasSizeLessThan(MOST_FROM_JAR);
		}
	}

	private static String text(Path file) {
		try {
			return Files.readString(file);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
