package org.monsoonrelay.logic.submission;

/**
 * What a caller is told of a submission or cancellation.
 */
public enum AcceptOutcome {

	/** It is stored. */
	ACCEPTED,

	/** It is not stored and will not be; it may be sent again. */
	NOT_ACCEPTED,

	/** There is no such job. */
	NO_SUCH_JOB,

	/** It may be stored or may yet be; sending it again under the same id is safe. */
	UNKNOWN

}
