package org.monsoonrelay.logic.text;

import java.util.List;
import java.util.Optional;

import org.monsoonrelay.model.workload.CellText;

/**
 * Result of checking an operators' text: the text, or all its faults at once. Immutable.
 *
 * @param text the text, present if there is no fault
 * @param faults the faults in the order of the document
 */
public record CheckedText(Optional<CellText> text, List<TextFault> faults) {

	public CheckedText {
		faults = List.copyOf(faults);
	}

}
