package org.monsoonrelay.cli;

import org.monsoonrelay.adapters.logging.Program;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The operators' command line.
 */
@Command(name = "monsoonrelay", mixinStandardHelpOptions = true, version = "0.1.0",
		description = "Operates a monsoonrelay cell.",
		subcommands = { CheckCommand.class, ApplyCommand.class, StatusCommand.class, StopCommand.class,
				CancelCommand.class, AuditCommand.class, ReportCommand.class },
		footer = { "", "Exit codes: 0 done, 1 not done, 2 invalid input, 3 unreachable, 4 conflict, 5 unknown.", "",
				"Examples:", "  monsoonrelay check examples/pelo-fino.json",
				"  monsoonrelay apply --host 10.0.0.1:8180 --token SECRET --wait examples/pelo-fino.json" })
public final class MonsoonrelayMain implements Runnable {

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	/**
	 * Run a command.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		CommandLine line = new CommandLine(new MonsoonrelayMain());
		line.setCaseInsensitiveEnumValuesAllowed(true);
		line.setExecutionExceptionHandler((ex, failed, parsed) -> {
			System.err.println(failed.getCommandSpec().qualifiedName() + ": " + ex.getMessage());
			return (ex instanceof CommandFailure failure) ? failure.exitCode() : Program.FAILED;
		});
		System.exit(line.execute(arguments));
	}

	@Override
	public void run() {
		throw new CommandLine.ParameterException(this.spec.commandLine(), "a command is needed");
	}

}
