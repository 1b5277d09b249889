package org.monsoonrelay.logic.control;

import java.util.List;
import java.util.OptionalLong;

import org.monsoonrelay.model.control.EditKind;

/**
 * An operator's request to change the control state. Immutable.
 *
 * @param editId id chosen by the operator's command, the same on every retry
 * @param kind the kind of change
 * @param operator the operator who submits the edit
 * @param text the new text for {@link EditKind#APPLY}, otherwise empty
 * @param targets names of the workloads to cancel or stop, otherwise empty
 * @param expectedTextVersion the text version that the edit is based on, empty to replace
 * any version
 */
public record Edit(String editId, EditKind kind, String operator, String text, List<String> targets,
		OptionalLong expectedTextVersion) {

	public Edit {
		targets = List.copyOf(targets);
	}

}
