package org.monsoonrelay.model.control;

/**
 * Kind of an operator's edit.
 */
public enum EditKind {

	/** Replace the configuration text. */
	APPLY,

	/** Cancel jobs permanently. */
	CANCEL,

	/** Stop workloads until the next configuration text. */
	STOP

}
