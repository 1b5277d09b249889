package org.monsoonrelay.logic.control;

import java.util.List;

import org.monsoonrelay.logic.text.TextFault;
import org.monsoonrelay.model.control.EditRecord;

/**
 * What became of an operator's edit. Immutable.
 */
public sealed interface EditOutcome {

	/**
	 * The edit is accepted and lasts.
	 *
	 * @param version the version it made, or that stood already where it changed nothing
	 */
	record Accepted(long version) implements EditOutcome {

	}

	/**
	 * Another edit came first; nothing was changed.
	 *
	 * @param winner the edit that came first
	 */
	record Conflict(EditRecord winner) implements EditOutcome {

	}

	/**
	 * The text has faults; nothing was changed.
	 *
	 * @param faults all faults
	 */
	record Invalid(List<TextFault> faults) implements EditOutcome {

	}

	/**
	 * The platform did not answer and nothing was changed.
	 *
	 * @param detail what is known
	 */
	record Unavailable(String detail) implements EditOutcome {

	}

	/**
	 * The platform's answer was lost and could not be settled: the edit may be in force.
	 *
	 * @param detail what is known
	 */
	record Unsettled(String detail) implements EditOutcome {

	}

}
