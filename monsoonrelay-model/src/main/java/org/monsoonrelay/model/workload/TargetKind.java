package org.monsoonrelay.model.workload;

/**
 * What a declared target measures.
 */
public enum TargetKind {

	/** A job has finished by an instant. */
	FINISH_BY,

	/** Tasks start within a time after they are ready. */
	START_WITHIN,

	/** A percentile of an operation's answers comes within a time. */
	ANSWER_WITHIN

}
