package org.monsoonrelay.logic.writes;

/** What became of a write. */
public enum WriteOutcome {

	/** An attempt was answered: it took effect. */
	COMMITTED,

	/** An attempt took effect, as the table shows. */
	FOUND,

	/** Another write took effect, so that no attempt did or will. */
	UNDONE,

	/** Another process wrote since; an attempt may have taken effect before. */
	UNKNOWN

}
