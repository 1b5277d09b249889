package org.monsoonrelay.cli;

import java.util.List;
import java.util.concurrent.Callable;

import org.monsoonrelay.model.control.EditKind;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Cancel batch runs or jobs for good. Idempotent.
 */
@Command(name = "cancel", mixinStandardHelpOptions = true,
		description = "Cancel batch runs or jobs for good. Idempotent.",
		footer = { "", "Example:", "  monsoonrelay cancel roster@2026-12-02" })
final class CancelCommand implements Callable<Integer> {

	@Mixin
	private Connection connection;

	@Parameters(arity = "1..*", paramLabel = "TARGET", description = "Jobs to cancel, NAME@RUN each.")
	private List<String> targets;

	@Mixin
	private Output output;

	@Override
	public Integer call() {
		return Edits.submit(EditKind.CANCEL, this.targets, this.connection.client(), this.output);
	}

}
