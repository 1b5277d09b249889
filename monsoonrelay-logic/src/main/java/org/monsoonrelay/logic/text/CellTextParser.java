package org.monsoonrelay.logic.text;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.workload.CellText;

/**
 * Parses the operators' text and reports all faults in it. Thread-safe.
 */
public final class CellTextParser {

	private static final SchemaCheck SCHEMA = new SchemaCheck(CellTextParser.class, "cell-text.schema.json");

	/**
	 * Check a text against the schema and check its references.
	 * @param document the text
	 * @return the parsed text or its faults
	 */
	public CheckedText parse(String document) {
		List<TextFault> faults = new ArrayList<>(SCHEMA.check(document));
		try {
			CellText text = Json.readLeniently(document, CellText.class);
			faults.addAll(new ReferenceCheck(text).faults());
			return new CheckedText(faults.isEmpty() ? Optional.of(text) : Optional.empty(), faults);
		}
		catch (JsonProcessingException ex) {
			if (faults.isEmpty()) {
				faults.add(SchemaCheck.bindingFault(ex));
			}
			return new CheckedText(Optional.empty(), faults);
		}
	}

	/**
	 * Parse a text that was accepted before.
	 * @param document the text
	 * @return the text
	 */
	public CellText parseAccepted(String document) {
		return Json.read(document, CellText.class);
	}

}
