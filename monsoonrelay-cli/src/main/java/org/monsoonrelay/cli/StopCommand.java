package org.monsoonrelay.cli;

import java.util.List;
import java.util.concurrent.Callable;

import org.monsoonrelay.model.control.EditKind;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Stop services until the next text names them, batch runs and jobs for good. Idempotent.
 */
@Command(name = "stop", mixinStandardHelpOptions = true,
		description = "Stop services until the next text names them; batch runs and jobs for good. Idempotent.",
		footer = { "", "Example:", "  monsoonrelay stop salon-desk" })
final class StopCommand implements Callable<Integer> {

	@Mixin
	private Connection connection;

	@Parameters(arity = "1..*", paramLabel = "TARGET", description = "Names of services, batch runs or jobs.")
	private List<String> targets;

	@Mixin
	private Output output;

	@Override
	public Integer call() {
		return Edits.submit(EditKind.STOP, this.targets, this.connection.client(), this.output);
	}

}
