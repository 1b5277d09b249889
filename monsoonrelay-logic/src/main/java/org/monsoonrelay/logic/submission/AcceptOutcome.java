package org.monsoonrelay.logic.submission;

/**
 * Outcome of a submission or cancellation as reported to the caller.
 */
public enum AcceptOutcome {

	/** The request is stored. */
	ACCEPTED,

	/** The request is not stored and never will be; the caller may retry it. */
	NOT_ACCEPTED,

	/**
	 * The table does not accept the content of the request, as when a job is too large.
	 * It is not stored, and neither will it be if it is repeated.
	 */
	INVALID,

	/** The job does not exist, and no submission of it before now will store it. */
	NO_SUCH_JOB,

	/**
	 * The job was cancelled before it was stored; the submission is not stored and never
	 * will be.
	 */
	WITHDRAWN,

	/**
	 * Another customer's job has this id; the submission is not stored and never will be.
	 */
	ID_IN_USE,

	/**
	 * The request may be stored already or may still become stored; retrying it with the
	 * same id is safe.
	 */
	UNKNOWN

}
