package org.monsoonrelay.cli;

import java.util.List;
import java.util.concurrent.Callable;

import org.monsoonrelay.adapters.operator.EditReply;
import org.monsoonrelay.model.control.EditKind;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Cancel batch runs or jobs for good. Idempotent.
 */
@Command(name = "cancel", mixinStandardHelpOptions = true,
		description = "Cancel batch runs or jobs for good. Idempotent.")
final class CancelCommand implements Callable<Integer> {

	@Mixin
	private Connection connection;

	@Parameters(arity = "1..*", paramLabel = "TARGET", description = "Jobs to cancel, NAME@RUN each.")
	private List<String> targets;

	@Option(names = "--json", description = "Print JSON.")
	private boolean json;

	@Override
	public Integer call() {
		EditReply reply = this.connection.client().edit(Edits.request(EditKind.CANCEL, "", this.targets, null));
		Edits.print(reply, this.json);
		return Edits.exitCode(reply);
	}

}
