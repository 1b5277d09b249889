package org.monsoonrelay.cli;

import java.util.List;
import java.util.UUID;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.adapters.operator.EditReply;
import org.monsoonrelay.adapters.operator.EditRequest;
import org.monsoonrelay.model.control.EditKind;

/**
 * Submits edits and tells what became of them. Stateless and thread-safe.
 */
final class Edits {

	private Edits() {
	}

	static EditRequest request(EditKind kind, String text, List<String> targets, Long expectedTextVersion) {
		return new EditRequest(UUID.randomUUID().toString(), kind, text, targets, expectedTextVersion);
	}

	/**
	 * Submit a stop or a cancellation and tell what became of it.
	 * @param kind which of both
	 * @param targets the targets
	 * @param client the client
	 * @param output where to tell it
	 * @return the exit code
	 */
	static int submit(EditKind kind, List<String> targets, OperatorClient client, Output output) {
		EditReply reply = client.edit(request(kind, "", targets, null));
		print(reply, output);
		return exitCode(reply);
	}

	static void print(EditReply reply, Output output) {
		if (output.isJson()) {
			output.json(reply);
			return;
		}
		switch (reply.outcome()) {
			case ACCEPTED ->
				output.line(reply.detail().isEmpty() ? "accepted as version " + reply.version() : reply.detail());
			case CONFLICT -> output.notice("conflict: " + reply.winner().operator() + " came first with version "
					+ reply.winner().version() + " at " + reply.winner().at() + " (edit " + reply.winner().editId()
					+ "); nothing was changed");
			case INVALID -> reply.faults().forEach((fault) -> output.notice("refused: " + fault));
			case UNAVAILABLE -> output.notice("not accepted: " + reply.detail());
			case UNSETTLED -> output.notice("unknown whether accepted: " + reply.detail());
		}
	}

	static int exitCode(EditReply reply) {
		return switch (reply.outcome()) {
			case ACCEPTED -> Program.OK;
			case CONFLICT -> Program.CONFLICT;
			case INVALID -> Program.INVALID;
			case UNAVAILABLE -> Program.UNREACHABLE;
			case UNSETTLED -> Program.UNSETTLED;
		};
	}

}
