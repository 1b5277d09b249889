package org.monsoonrelay.logic.control;

import java.util.List;
import java.util.OptionalLong;

import org.monsoonrelay.model.control.EditKind;

/**
 * An operator's request for a change. Immutable.
 *
 * @param editId identity chosen by the operator's command, the same on each repeat
 * @param kind what it does
 * @param operator who asks
 * @param text the new text of an {@link EditKind#APPLY}, otherwise empty
 * @param targets what to cancel or stop, otherwise empty
 * @param expectedTextVersion the version of the text that the operator saw; empty to
 * replace whatever is there
 */
public record Edit(String editId, EditKind kind, String operator, String text, List<String> targets,
		OptionalLong expectedTextVersion) {

	public Edit {
		targets = List.copyOf(targets);
	}

}
