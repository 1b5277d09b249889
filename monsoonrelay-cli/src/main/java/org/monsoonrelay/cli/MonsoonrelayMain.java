package org.monsoonrelay.cli;

import java.io.InputStream;
import java.io.PrintWriter;
import java.time.Clock;
import java.time.InstantSource;

import org.monsoonrelay.adapters.logging.Program;
import picocli.AutoComplete.GenerateCompletion;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The operators' command line. Every complaint is one line on the standard error.
 */
@Command(name = "monsoonrelay", mixinStandardHelpOptions = true, version = "0.1.0",
		description = "Operates a monsoonrelay cell.",
		subcommands = {
				CheckCommand.class, ApplyCommand.class, StatusCommand.class, StopCommand.class, CancelCommand.class,
				AuditCommand.class, ReportCommand.class, ExplainCommand.class, GenerateCompletion.class },
		exitCodeListHeading = "%nExit codes:%n",
		exitCodeList = { "0:done", "1:what was asked for did not happen, or not in time",
				"2:the command line or the text has faults", "3:no entry host, or not the platform, can be reached",
				"4:another edit came first", "5:it is not known whether the edit was made; repeat the command" },
		footer = { "", "Examples:", "  monsoonrelay check examples/pelo-fino.json",
				"  monsoonrelay apply --host 10.0.0.1:8180,10.0.0.2:8180 --token SECRET --wait cell.json",
				"  monsoonrelay status roster", "  monsoonrelay explain 5c0e7a21d94b36f8 host-*.log",
				"  source <(monsoonrelay generate-completion)" })
public final class MonsoonrelayMain implements Runnable {

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	/**
	 * Run a command.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		CommandLine line = commandLine(Pacer.SYSTEM, Clock.systemUTC(), System.in);
		System.exit(line.execute(arguments));
	}

	/**
	 * Build the command line.
	 * @param pacer how commands wait
	 * @param clock the time against which targets are judged
	 * @param input what commands read that are given no file
	 * @return the command line
	 */
	static CommandLine commandLine(Pacer pacer, InstantSource clock, InputStream input) {
		CommandLine line = new CommandLine(new MonsoonrelayMain(), new Commands(pacer, clock, input));
		line.setCaseInsensitiveEnumValuesAllowed(true);
		line.setExecutionExceptionHandler((ex, failed, parsed) -> {
			complain(failed, ex.getMessage());
			return (ex instanceof CommandFailure failure) ? failure.exitCode() : Program.FAILED;
		});
		line.setParameterExceptionHandler((ex, arguments) -> {
			complain(ex.getCommandLine(), ex.getMessage() + " (see --help)");
			return Program.INVALID;
		});
		return line;
	}

	private static void complain(CommandLine failed, String message) {
		PrintWriter errors = failed.getErr();
		errors.println(failed.getCommandSpec().qualifiedName() + ": " + message);
		errors.flush();
	}

	@Override
	public void run() {
		throw new CommandLine.ParameterException(this.spec.commandLine(), "a command is needed");
	}

	/**
	 * Makes the commands that need a clock or an input, and leaves the others to the
	 * library.
	 */
	private record Commands(Pacer pacer, InstantSource clock, InputStream input) implements CommandLine.IFactory {

		@Override
		public <K> K create(Class<K> type) throws Exception {
			if (type == ApplyCommand.class) {
				return type.cast(new ApplyCommand(this.pacer));
			}
			if (type == ReportCommand.class) {
				return type.cast(new ReportCommand(this.clock));
			}
			if (type == ExplainCommand.class) {
				return type.cast(new ExplainCommand(this.input));
			}
			return CommandLine.defaultFactory().create(type);
		}

	}

}
