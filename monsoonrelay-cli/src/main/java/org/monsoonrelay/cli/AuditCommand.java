package org.monsoonrelay.cli;

import java.util.List;
import java.util.concurrent.Callable;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.control.EditRecord;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Reads the audit trail.
 */
@Command(name = "audit", mixinStandardHelpOptions = true, description = "Read who changed what, and when.")
final class AuditCommand implements Callable<Integer> {

	@Mixin
	private Connection connection;

	@Option(names = "--after", paramLabel = "VERSION", defaultValue = "0",
			description = "Begin after this version. Default: ${DEFAULT-VALUE}.")
	private long after;

	@Option(names = "--limit", paramLabel = "N", defaultValue = "100",
			description = "The most entries to read. Default: ${DEFAULT-VALUE}.")
	private int limit;

	@Option(names = "--json", description = "Print JSON.")
	private boolean json;

	@Override
	public Integer call() {
		List<EditRecord> entries = this.connection.client().audit(this.after, this.limit);
		if (this.json) {
			System.out.println(Json.write(entries));
		}
		else {
			entries.forEach((entry) -> System.out.println(entry.version() + " " + entry.at() + " " + entry.operator()
					+ " " + entry.kind() + " " + String.join(",", entry.targets())));
		}
		return Program.OK;
	}

}
