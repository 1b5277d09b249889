package org.monsoonrelay.model.control;

/**
 * Result of an edit, as recorded in the audit trail.
 */
public enum EditResult {

	/** The edit is in force. */
	ACCEPTED,

	/** Another edit was accepted first; this one changed nothing. */
	CONFLICT,

	/** The edit was invalid and changed nothing. */
	REFUSED

}
