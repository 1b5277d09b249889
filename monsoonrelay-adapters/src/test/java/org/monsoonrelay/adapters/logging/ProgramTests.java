package org.monsoonrelay.adapters.logging;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.adapters.settings.SettingsException;
import picocli.CommandLine.Command;

import static org.assertj.core.api.Assertions.assertThat;

class ProgramTests {

	private final ByteArrayOutputStream written = new ByteArrayOutputStream();

	private int run(Callable<Integer> daemon, String... arguments) {
		return Program.runDaemon("daemon", daemon, arguments,
				new PrintStream(this.written, true, StandardCharsets.UTF_8));
	}

	private String errors() {
		return this.written.toString(StandardCharsets.UTF_8);
	}

	@Test
	void daemonWithoutArgumentsReturnsItsOwnExitCode() {
		assertThat(run(() -> Program.UNREACHABLE)).isEqualTo(Program.UNREACHABLE);
		assertThat(errors()).isEmpty();
	}

	@Test
	void invalidSettingsAreReportedAsOneLineWithAndWithoutArguments() {
		assertThat(run(new DaemonWithInvalidSettings())).isEqualTo(Program.INVALID);
		assertThat(run(new DaemonWithInvalidSettings(), "--")).isEqualTo(Program.INVALID);
		assertThat(errors().lines()).containsExactly("daemon: the setting ip is missing",
				"daemon: the setting ip is missing");
	}

	@Test
	void otherFailuresAreReportedAsOneLine() {
		assertThat(run(() -> {
			throw new IllegalStateException("port in use");
		})).isEqualTo(Program.FAILED);
		assertThat(errors()).isEqualToIgnoringNewLines("daemon: port in use");
	}

	/**
	 * Guards against a process that hangs when its program file is truncated during the
	 * start; one did so for ten minutes until it was killed. A missing class raises an
	 * error, not an exception. If it is not caught, the main thread ends without an exit
	 * code and the threads that are already running keep the process alive.
	 */
	@Test
	void missingClassEndsTheProgramWithOneLine() {
		assertThat(run(new DaemonWithMissingClass())).isEqualTo(Program.FAILED);
		assertThat(run(new DaemonWithMissingClass(), "--")).isEqualTo(Program.FAILED);
		assertThat(errors().lines()).hasSize(2)
			.allMatch((line) -> line.equals("daemon: java.lang.NoClassDefFoundError: org/monsoonrelay/Missing"));
	}

	@Test
	void unknownArgumentsAreRejected() {
		assertThat(run(new DaemonWithInvalidSettings(), "--nonsense")).isEqualTo(Program.INVALID);
		assertThat(errors()).contains("--nonsense");
	}

	/** A daemon that fails because of a missing class. */
	@Command(name = "daemon")
	static final class DaemonWithMissingClass implements Callable<Integer> {

		@Override
		public Integer call() {
			throw new NoClassDefFoundError("org/monsoonrelay/Missing");
		}

	}

	/** A daemon that fails because of invalid settings. */
	@Command(name = "daemon")
	static final class DaemonWithInvalidSettings implements Callable<Integer> {

		@Override
		public Integer call() {
			throw new SettingsException("the setting ip is missing");
		}

	}

}
