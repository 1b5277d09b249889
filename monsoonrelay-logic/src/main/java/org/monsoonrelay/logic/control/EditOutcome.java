package org.monsoonrelay.logic.control;

import java.util.List;

import org.monsoonrelay.logic.text.TextFault;
import org.monsoonrelay.model.control.EditRecord;

/**
 * Outcome of an operator's edit. Immutable.
 */
public sealed interface EditOutcome {

	/**
	 * The edit is accepted and durable.
	 *
	 * @param version the version it created, or the current version if it changed nothing
	 */
	record Accepted(long version) implements EditOutcome {

	}

	/**
	 * Another edit was accepted first; nothing was changed.
	 *
	 * @param winner the edit that was accepted first
	 */
	record Conflict(EditRecord winner) implements EditOutcome {

	}

	/**
	 * The text or the targets of the edit are invalid; nothing was changed.
	 *
	 * @param faults all faults found
	 */
	record Invalid(List<TextFault> faults) implements EditOutcome {

	}

	/**
	 * The platform did not answer and nothing was changed.
	 *
	 * @param detail the cause, for the operator
	 */
	record Unavailable(String detail) implements EditOutcome {

	}

	/**
	 * The platform's answer was lost and the outcome could not be determined: the edit
	 * may be in force.
	 *
	 * @param detail the cause, for the operator
	 */
	record Unsettled(String detail) implements EditOutcome {

	}

}
