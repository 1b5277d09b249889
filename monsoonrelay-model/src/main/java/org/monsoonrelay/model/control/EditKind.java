package org.monsoonrelay.model.control;

/**
 * What an operator's edit does.
 */
public enum EditKind {

	/** Replace the text. */
	APPLY,

	/** Cancel jobs for good. */
	CANCEL,

	/** Stop workloads until the next text. */
	STOP

}
