package org.monsoonrelay.adapters.operator;

import java.util.List;

import org.monsoonrelay.model.control.EditKind;

/**
 * An edit as the command line sends it. Immutable.
 *
 * @param editId identity chosen by the command, the same on each repeat
 * @param kind what it does
 * @param text the new text, empty unless it is applied
 * @param targets what to cancel or stop
 * @param expectedTextVersion the version of the text that the operator saw, {@code null}
 * to replace whatever is there
 */
public record EditRequest(String editId, EditKind kind, String text, List<String> targets, Long expectedTextVersion) {

	public EditRequest {
		targets = List.copyOf(targets);
	}

}
