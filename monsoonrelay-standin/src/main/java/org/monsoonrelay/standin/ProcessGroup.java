package org.monsoonrelay.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Processes by name, which are started, paused and ended together with this one. Not
 * thread-safe.
 */
final class ProcessGroup implements AutoCloseable {

	private static final int STOP_SECONDS = 10;

	private final Map<String, Process> processes = new LinkedHashMap<>();

	private final Set<String> frozen = new HashSet<>();

	private final Thread onKill = new Thread(this::killAll);

	ProcessGroup() {
		Runtime.getRuntime().addShutdownHook(this.onKill);
	}

	/**
	 * Start a process in place of an earlier one of its name.
	 * @param name its name
	 * @param command how to start it
	 * @param log where both of its outputs go
	 */
	void start(String name, ProcessBuilder command, Path log) {
		try {
			this.processes.put(name,
					command.redirectErrorStream(true)
						.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
						.start());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	Process get(String name) {
		return this.processes.get(name);
	}

	Map<String, Process> all() {
		return Collections.unmodifiableMap(this.processes);
	}

	void killAll() {
		this.processes.values().forEach(Process::destroyForcibly);
	}

	/**
	 * Leave the processes up when this one ends.
	 */
	void keep() {
		Runtime.getRuntime().removeShutdownHook(this.onKill);
	}

	/**
	 * Kill a process. It is dead when this returns.
	 * @param name its name
	 */
	void kill(String name) {
		this.processes.get(name).destroyForcibly();
		exitCode(name);
	}

	void freeze(String name) {
		signal(name, "STOP");
		this.frozen.add(name);
	}

	void thaw(String name) {
		signal(name, "CONT");
		this.frozen.remove(name);
	}

	void terminate(String name) {
		signal(name, "TERM");
	}

	private void signal(String name, String signal) {
		String pid = Long.toString(this.processes.get(name).pid());
		CommandResult result = CommandResult.of(new ProcessBuilder("kill", "-" + signal, pid));
		if (result.exitCode() != 0) {
			throw new IllegalStateException("cannot signal " + name + ": " + result.output());
		}
	}

	/**
	 * Wait for a process to end.
	 * @param name its name
	 * @return its exit code
	 */
	int exitCode(String name) {
		Process process = this.processes.get(name);
		Await.until(name + " has ended", () -> !process.isAlive());
		return process.exitValue();
	}

	/**
	 * End every process: those that are paused at once, the others by a planned stop.
	 */
	@Override
	public void close() {
		this.processes.forEach((name, process) -> {
			if (this.frozen.contains(name)) {
				process.destroyForcibly();
			}
			else {
				process.destroy();
			}
		});
		try {
			for (Process process : this.processes.values()) {
				if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
					process.destroyForcibly().waitFor();
				}
			}
			keep();
		}
		catch (InterruptedException ex) {
			killAll();
			Thread.currentThread().interrupt();
		}
	}

}
