package org.monsoonrelay.cli;

import java.util.List;
import java.util.UUID;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.adapters.operator.EditReply;
import org.monsoonrelay.adapters.operator.EditRequest;
import org.monsoonrelay.logic.platform.Json;
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

	static void print(EditReply reply, boolean json) {
		if (json) {
			System.out.println(Json.write(reply));
			return;
		}
		switch (reply.outcome()) {
			case ACCEPTED -> System.out.println("accepted as version " + reply.version());
			case CONFLICT -> System.out.println("conflict: " + reply.winner().operator() + " came first with version "
					+ reply.winner().version() + " at " + reply.winner().at() + "; nothing was changed");
			case INVALID -> reply.faults().forEach((fault) -> System.out.println("fault: " + fault));
			case UNAVAILABLE -> System.out.println("not accepted: " + reply.detail());
			case UNSETTLED -> System.out.println("unknown whether accepted: " + reply.detail());
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
