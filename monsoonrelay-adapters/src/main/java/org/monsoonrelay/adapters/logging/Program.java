package org.monsoonrelay.adapters.logging;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.util.concurrent.Callable;

import org.monsoonrelay.adapters.settings.SettingsException;
import picocli.CommandLine;

/**
 * Runs the command of a program and reports any failure as one line and an exit code.
 * Stateless and thread-safe.
 */
public final class Program {

	/** The command succeeded. */
	public static final int OK = 0;

	/** A requested action failed. */
	public static final int FAILED = 1;

	/** The command line, an input text or the settings are invalid. */
	public static final int INVALID = 2;

	/** A process or the platform is unreachable. */
	public static final int UNREACHABLE = 3;

	/** The edit conflicts with an edit that was applied before. */
	public static final int CONFLICT = 4;

	/** The outcome of the requested action is unknown. */
	public static final int UNSETTLED = 5;

	private Program() {
	}

	/**
	 * Runs a command.
	 * @param command the picocli command
	 * @param arguments the arguments
	 * @param errors the output of error messages
	 * @return the exit code
	 */
	public static int run(Object command, String[] arguments, PrintStream errors) {
		CommandLine line = new CommandLine(command);
		line.setErr(new PrintWriter(errors, true));
		line.setExecutionExceptionHandler((ex, failedCommand, parsed) -> {
			errors.println(failedCommand.getCommandName() + ": " + ex.getMessage());
			return exitCode(ex);
		});
		try {
			return line.execute(arguments);
		}
		catch (Error ex) {
			return reportError(line.getCommandName(), ex, errors);
		}
	}

	/**
	 * Runs a daemon. Without arguments the command-line parser is not loaded, because its
	 * 170 classes cannot be stored in a class data sharing archive.
	 * @param name the name of the daemon
	 * @param daemon the picocli command
	 * @param arguments the arguments
	 * @param errors the output of error messages
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
			return reportError(name, ex, errors);
		}
	}

	// Without an exit code the other threads would keep the process alive: it would serve
	// no requests and would not be restarted.
	private static int reportError(String name, Error failure, PrintStream errors) {
		errors.println(name + ": " + failure);
		return FAILED;
	}

	private static int exitCode(Exception failure) {
		return (failure instanceof SettingsException) ? INVALID : FAILED;
	}

}
