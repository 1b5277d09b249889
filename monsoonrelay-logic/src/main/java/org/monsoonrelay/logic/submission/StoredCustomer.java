package org.monsoonrelay.logic.submission;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PlatformException;
import org.monsoonrelay.logic.platform.TableRow;

/**
 * The customer in the row of a submitted job, without the rest of the row. Immutable.
 *
 * @param customer the customer's name, absent in rows without one
 */
record StoredCustomer(String customer) {

	/**
	 * Reads the customer of a row.
	 * @param row the row of a job
	 * @return the customer's name, empty if the job has none
	 * @throws PlatformException if the row cannot be read, so that nobody may see the job
	 */
	static String of(TableRow row) {
		try {
			String name = Json.readRow(row.value(), StoredCustomer.class).customer();
			return (name != null) ? name : "";
		}
		catch (JsonProcessingException ex) {
			throw new PlatformException("the customer of " + row.key() + " cannot be read", false, ex);
		}
	}

}
