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
 * Stop workloads until the next text names them anew. Idempotent.
 */
@Command(name = "stop", mixinStandardHelpOptions = true,
		description = "Stop workloads until the next text names them anew. Idempotent.")
final class StopCommand implements Callable<Integer> {

	@Mixin
	private Connection connection;

	@Parameters(arity = "1..*", paramLabel = "TARGET", description = "Names of services, batch runs or jobs.")
	private List<String> targets;

	@Option(names = "--json", description = "Print JSON.")
	private boolean json;

	@Override
	public Integer call() {
		EditReply reply = this.connection.client().edit(Edits.request(EditKind.STOP, "", this.targets, null));
		Edits.print(reply, this.json);
		return Edits.exitCode(reply);
	}

}
