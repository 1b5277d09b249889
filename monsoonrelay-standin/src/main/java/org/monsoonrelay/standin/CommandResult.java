package org.monsoonrelay.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * How a command ended. Immutable.
 *
 * @param exitCode the exit code
 * @param output both of its outputs
 */
public record CommandResult(int exitCode, String output) {

	private static final long LIMIT_SECONDS = 60;

	/**
	 * Run a command to its end, which is forced after a minute.
	 * @param builder the command
	 * @return how it ended
	 */
	static CommandResult of(ProcessBuilder builder) {
		try {
			Process process = builder.redirectErrorStream(true).start();
			process.onExit()
				.orTimeout(LIMIT_SECONDS, TimeUnit.SECONDS)
				.exceptionally((late) -> process.destroyForcibly());
			String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			return new CommandResult(process.waitFor(), output);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted", ex);
		}
	}

}
