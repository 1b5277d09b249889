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
	void daemonWithoutArgumentsEndsWithItsOwnCode() {
		assertThat(run(() -> Program.UNREACHABLE)).isEqualTo(Program.UNREACHABLE);
		assertThat(errors()).isEmpty();
	}

	@Test
	void faultySettingsGiveOneClearLineWithAndWithoutArguments() {
		assertThat(run(new Faulty())).isEqualTo(Program.INVALID);
		assertThat(run(new Faulty(), "--")).isEqualTo(Program.INVALID);
		assertThat(errors().lines()).containsExactly("daemon: the setting ip is missing",
				"daemon: the setting ip is missing");
	}

	@Test
	void otherFailuresGiveOneClearLine() {
		assertThat(run(() -> {
			throw new IllegalStateException("port in use");
		})).isEqualTo(Program.FAILED);
		assertThat(errors()).isEqualToIgnoringNewLines("daemon: port in use");
	}

	/**
	 * A process whose program file was cut while it started neither served nor ended for
	 * ten minutes, until it was killed. A class that is not found is an error and no
	 * exception: it ended the main thread without an exit code, and the threads that had
	 * been started before kept the process.
	 */
	@Test
	void classThatIsNotFoundEndsTheProgramWithOneClearLine() {
		assertThat(run(new Cut())).isEqualTo(Program.FAILED);
		assertThat(run(new Cut(), "--")).isEqualTo(Program.FAILED);
		assertThat(errors().lines()).hasSize(2)
			.allMatch((line) -> line.equals("daemon: java.lang.NoClassDefFoundError: org/monsoonrelay/Missing"));
	}

	@Test
	void unknownArgumentsAreRefused() {
		assertThat(run(new Faulty(), "--nonsense")).isEqualTo(Program.INVALID);
		assertThat(errors()).contains("--nonsense");
	}

	/** A daemon one of whose classes is missing. */
	@Command(name = "daemon")
	static final class Cut implements Callable<Integer> {

		@Override
		public Integer call() {
			throw new NoClassDefFoundError("org/monsoonrelay/Missing");
		}

	}

	/** A daemon whose settings have a fault. */
	@Command(name = "daemon")
	static final class Faulty implements Callable<Integer> {

		@Override
		public Integer call() {
			throw new SettingsException("the setting ip is missing");
		}

	}

}
