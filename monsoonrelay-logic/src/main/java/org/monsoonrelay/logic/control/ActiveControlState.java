package org.monsoonrelay.logic.control;

import org.monsoonrelay.model.control.ControlHead;
import org.monsoonrelay.model.control.ControlState;
import org.monsoonrelay.model.workload.CellText;

/**
 * A version of the control state with its parsed text. Immutable.
 *
 * @param head the head of the version
 * @param state the state of the version
 * @param text the parsed text
 */
public record ActiveControlState(ControlHead head, ControlState state, CellText text) {

	/**
	 * The state before the first version.
	 */
	public static final ActiveControlState NONE = new ActiveControlState(ControlHead.NONE, ControlState.NONE,
			CellText.EMPTY);

}
