package org.monsoonrelay.model.workload;

/**
 * What a declared target measures.
 */
public enum TargetKind {

	/** A job finishes by a given time. */
	FINISH_BY,

	/** Tasks start within a given time after they become ready. */
	START_WITHIN,

	/** A percentile of an operation's response times stays within a bound. */
	ANSWER_WITHIN

}
