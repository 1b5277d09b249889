package org.monsoonrelay.adapters.logging;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.util.concurrent.Callable;

import org.monsoonrelay.adapters.settings.SettingsException;
import picocli.CommandLine;

/**
 * Runs a program's command and turns what stops it into one clear line and an exit code,
 * whatever it is. Stateless and thread-safe.
 */
public final class Program {

	/** All went well. */
	public static final int OK = 0;

	/** Something that was asked for did not happen. */
	public static final int FAILED = 1;

	/** The command line, a text or the settings have faults. */
	public static final int INVALID = 2;

	/** A process or the platform cannot be reached. */
	public static final int UNREACHABLE = 3;

	/** Another edit came first. */
	public static final int CONFLICT = 4;

	/** It is not known whether what was asked for happened. */
	public static final int UNSETTLED = 5;

	private Program() {
	}

	/**
	 * Run a command.
	 * @param command the picocli command
	 * @param arguments the arguments
	 * @param errors where the clear line goes
	 * @return the exit code
	 */
	public static int run(Object command, String[] arguments, PrintStream errors) {
		CommandLine line = new CommandLine(command);
		line.setErr(new PrintWriter(errors, true));
		line.setExecutionExceptionHandler((ex, failed, parsed) -> {
			errors.println(failed.getCommandName() + ": " + ex.getMessage());
			return exitCode(ex);
		});
		try {
			return line.execute(arguments);
		}
		catch (Error ex) {
			return failed(line.getCommandName(), ex, errors);
		}
	}

	/**
	 * Run a daemon. One that is started without arguments skips the parser, whose classes
	 * no class archive can hold (170 classes; the gain was not measured by itself).
	 * @param name the daemon's name
	 * @param daemon the picocli command
	 * @param arguments the arguments
	 * @param errors where the clear line goes
	 * @return the exit code
	 */
	public static int runDaemon(String name, Callable<Integer> daemon, String[] arguments, PrintStream errors) {
		if (arguments.length > 0) {
			return run(daemon, arguments, errors);
		}
		try {
			return daemon.call();
		}
		catch (Exception ex) {
			errors.println(name + ": " + ex.getMessage());
			return exitCode(ex);
		}
		catch (Error ex) {
			return failed(name, ex, errors);
		}
	}

	// Without an exit code the process would stay, as its other threads go on: it would
	// serve nobody and never be started anew.
	private static int failed(String name, Error failure, PrintStream errors) {
		errors.println(name + ": " + failure);
		return FAILED;
	}

	private static int exitCode(Exception failure) {
		return (failure instanceof SettingsException) ? INVALID : FAILED;
	}

}
