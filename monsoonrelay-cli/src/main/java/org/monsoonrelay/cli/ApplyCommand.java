package org.monsoonrelay.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.adapters.operator.CellStatus;
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
		description = "Bring a text into force, after showing what it changes.")
final class ApplyCommand implements Callable<Integer> {

	private static final int POLL_MILLIS = 200;

	@Mixin
	private Connection connection;

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

	@Option(names = "--json", description = "Print JSON.")
	private boolean json;

	@Override
	public Integer call() throws InterruptedException {
		String text = Texts.read(this.file);
		List<TextFault> faults = Texts.faults(text);
		if (!faults.isEmpty()) {
			faults.forEach((fault) -> System.err.println(this.file + ": " + fault));
			return Program.INVALID;
		}
		OperatorClient client = this.connection.client();
		StateMessage present = client.state();
		if (!this.json) {
			TextDiff.between(present.text(), text).forEach(System.out::println);
		}
		if (this.dryRun) {
			return Program.OK;
		}
		long expected = (this.expectedVersion != null) ? this.expectedVersion : present.textVersion();
		EditReply reply = client.edit(Edits.request(EditKind.APPLY, text, List.of(), expected));
		Edits.print(reply, this.json);
		if (reply.outcome() != EditReply.Outcome.ACCEPTED || !this.waitForAll) {
			return Edits.exitCode(reply);
		}
		return waitUntilInForce(client, reply.version());
	}

	private int waitUntilInForce(OperatorClient client, long version) throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(this.timeoutSeconds);
		List<String> behind = behind(client.status(), version);
		while (!behind.isEmpty() && System.nanoTime() - end < 0) {
			TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
			behind = behind(client.status(), version);
		}
		if (behind.isEmpty()) {
			report("in force on all processes");
			return Program.OK;
		}
		report("not in force yet on: " + String.join(", ", behind));
		return Program.FAILED;
	}

	private void report(String line) {
		(this.json ? System.err : System.out).println(line);
	}

	private static List<String> behind(CellStatus status, long version) {
		List<String> behind = new ArrayList<>(status.missing());
		status.processes()
			.stream()
			.filter((process) -> process.version() < version)
			.forEach((process) -> behind.add(process.address() + " (version " + process.version() + ")"));
		return behind;
	}

}
