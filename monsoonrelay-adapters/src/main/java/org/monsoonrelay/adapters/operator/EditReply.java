package org.monsoonrelay.adapters.operator;

import java.util.List;

import org.monsoonrelay.logic.text.TextFault;
import org.monsoonrelay.model.control.EditRecord;

/**
 * What became of an edit. Immutable.
 *
 * @param outcome what became of it
 * @param version the version it made, 0 unless accepted
 * @param winner the edit that came first, {@code null} unless in conflict
 * @param faults faults of the text, empty unless invalid
 * @param detail what is known, empty where nothing needs saying
 */
public record EditReply(Outcome outcome, long version, EditRecord winner, List<TextFault> faults, String detail) {

	public EditReply {
		faults = List.copyOf(faults);
	}

	/**
	 * The ways an edit can end.
	 */
	public enum Outcome {

		/** It is accepted and lasts. */
		ACCEPTED,

		/** Another edit came first. */
		CONFLICT,

		/** The text has faults. */
		INVALID,

		/** Nothing was changed, because the platform did not answer. */
		UNAVAILABLE,

		/** It may be in force. */
		UNSETTLED

	}

}
