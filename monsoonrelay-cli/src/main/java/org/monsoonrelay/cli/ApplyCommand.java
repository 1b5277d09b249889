package org.monsoonrelay.cli;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.adapters.operator.EditReply;
import org.monsoonrelay.adapters.operator.StateMessage;
import org.monsoonrelay.logic.text.TextFault;
import org.monsoonrelay.model.control.EditKind;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Brings a text into force.
 */
@Command(name = "apply", mixinStandardHelpOptions = true,
		description = "Bring a text into force, after showing what it changes.",
		footer = { "", "Examples:", "  monsoonrelay apply --dry-run cell.json",
				"  monsoonrelay apply --wait --expect-version 7 cell.json" })
final class ApplyCommand implements Callable<Integer> {

	private final Pacer pacer;

	@Mixin
	private Connection connection;

	@Mixin
	private Output output;

	@Parameters(paramLabel = "FILE", description = "The text.")
	private Path file;

	@Option(names = "--dry-run", description = "Show what the text changes and stop there.")
	private boolean dryRun;

	@Option(names = "--expect-version", paramLabel = "N",
			description = "Refuse unless the text in force has this version. Default: the version shown in the diff.")
	private Long expectedVersion;

	@Option(names = "--wait", description = "Wait until the text is in force on every process.")
	private boolean waitForAll;

	@Option(names = "--timeout", paramLabel = "SECONDS", defaultValue = "30",
			description = "How long to wait, in seconds. Default: ${DEFAULT-VALUE}.")
	private int timeoutSeconds;

	ApplyCommand(Pacer pacer) {
		this.pacer = pacer;
	}

	@Override
	public Integer call() throws InterruptedException {
		String text = Texts.read(this.file);
		List<TextFault> faults = Texts.faults(text);
		if (!faults.isEmpty()) {
			faults.forEach((fault) -> this.output.notice(this.file + ": " + fault));
			return Program.INVALID;
		}
		OperatorClient client = this.connection.client();
		StateMessage present = client.state();
		List<String> changes = TextDiff.between(present, text);
		show(present, changes);
		if (this.dryRun) {
			return Program.OK;
		}
		long expected = (this.expectedVersion != null) ? this.expectedVersion : present.textVersion();
		boolean unchanged = changes.isEmpty() && expected == present.textVersion();
		EditReply reply = unchanged ? unchanged(present)
				: client.edit(Edits.request(EditKind.APPLY, text, List.of(), expected));
		Edits.print(reply, this.output);
		if (reply.outcome() != EditReply.Outcome.ACCEPTED || !this.waitForAll) {
			return Edits.exitCode(reply);
		}
		return new InForceWait(client, this.output, this.pacer).until(reply.version(),
				Duration.ofSeconds(this.timeoutSeconds));
	}

	private void show(StateMessage present, List<String> changes) {
		if (!this.output.isJson()) {
			this.output.line(changes.isEmpty() ? "no change to the text of version " + present.textVersion()
					: "changes to the text of version " + present.textVersion() + ":");
			changes.forEach(this.output::line);
		}
		else if (this.dryRun) {
			this.output.json(changes);
		}
	}

	private static EditReply unchanged(StateMessage present) {
		return new EditReply(EditReply.Outcome.ACCEPTED, present.version(), null, List.of(),
				"no change: the text is in force already");
	}

}
