package org.monsoonrelay.logic.text;

import java.util.List;
import java.util.Optional;

import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.workload.CellText;

/**
 * Reads an operators' text and names every fault in it. Thread-safe.
 */
public final class CellTextParser {

	private static final SchemaCheck SCHEMA = new SchemaCheck(CellTextParser.class, "cell-text.schema.json");

	/**
	 * Check a text against the schema, then its references.
	 * @param document the text
	 * @return the text or its faults
	 */
	public CheckedText parse(String document) {
		List<TextFault> faults = SCHEMA.check(document);
		if (!faults.isEmpty()) {
			return new CheckedText(Optional.empty(), faults);
		}
		CellText text = Json.read(document, CellText.class);
		List<TextFault> references = new ReferenceCheck(text).faults();
		return new CheckedText(references.isEmpty() ? Optional.of(text) : Optional.empty(), references);
	}

	/**
	 * Read a text that was accepted before.
	 * @param document the text
	 * @return the text
	 */
	public CellText accepted(String document) {
		return Json.read(document, CellText.class);
	}

}
