package org.monsoonrelay.cli;

import java.util.Optional;
import java.util.concurrent.Callable;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.logic.control.AuditPage;
import org.monsoonrelay.logic.control.AuditQuery;
import org.monsoonrelay.model.control.EditKind;
import org.monsoonrelay.model.control.EditRecord;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Reads the audit trail.
 */
@Command(name = "audit", mixinStandardHelpOptions = true, description = "Read who changed what, and when.",
		footer = { "", "Example:", "  monsoonrelay audit --operator ana --kind apply --limit 20" })
final class AuditCommand implements Callable<Integer> {

	@Mixin
	private Connection connection;

	@Option(names = "--after", paramLabel = "VERSION", defaultValue = "",
			description = "Begin after this version, or where an earlier page ended.")
	private String after;

	@Option(names = "--limit", paramLabel = "N", defaultValue = "100",
			description = "The most entries to read. Default: ${DEFAULT-VALUE}.")
	private int limit;

	@Option(names = "--operator", paramLabel = "NAME", description = "Only edits of this operator.")
	private String operator;

	@Option(names = "--kind", paramLabel = "KIND", description = "Only edits of this kind: ${COMPLETION-CANDIDATES}.")
	private EditKind kind;

	@Mixin
	private Output output;

	@Override
	public Integer call() {
		AuditPage page = this.connection.client()
			.audit(new AuditQuery(this.after, Optional.ofNullable(this.operator), Optional.ofNullable(this.kind),
					this.limit));
		if (this.output.isJson()) {
			this.output.json(page);
			return Program.OK;
		}
		page.entries().forEach((entry) -> this.output.line(line(entry)));
		if (!page.next().isEmpty()) {
			this.output.notice("more entries follow: --after " + page.next());
		}
		return Program.OK;
	}

	private static String line(EditRecord entry) {
		String targets = entry.targets().isEmpty() ? "" : " " + String.join(",", entry.targets());
		return entry.version() + " " + entry.at() + " " + entry.operator() + " " + entry.kind() + targets + " "
				+ entry.result();
	}

}
