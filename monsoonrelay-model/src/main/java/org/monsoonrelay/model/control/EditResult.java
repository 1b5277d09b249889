package org.monsoonrelay.model.control;

/**
 * What became of an edit that the audit trail tells of.
 */
public enum EditResult {

	/** It is in force. */
	ACCEPTED,

	/** Another edit came first; it changed nothing. */
	CONFLICT,

	/** It had faults; it changed nothing. */
	REFUSED

}
