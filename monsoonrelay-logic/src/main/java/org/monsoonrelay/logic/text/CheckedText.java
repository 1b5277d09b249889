package org.monsoonrelay.logic.text;

import java.util.List;
import java.util.Optional;

import org.monsoonrelay.model.workload.CellText;

/**
 * Result of checking the operators' text: the parsed text or all of its faults.
 * Immutable.
 *
 * @param text the parsed text, present if there is no fault
 * @param faults the faults, those of the schema first
 */
public record CheckedText(Optional<CellText> text, List<TextFault> faults) {

	public CheckedText {
		faults = List.copyOf(faults);
	}

}
