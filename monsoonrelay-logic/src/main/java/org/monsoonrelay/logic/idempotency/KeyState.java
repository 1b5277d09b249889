package org.monsoonrelay.logic.idempotency;

/**
 * What is known of a request whose key is recorded.
 */
public enum KeyState {

	/** Reserved; the request may be running, may have run, and has no known answer. */
	OPEN,

	/** Answered whole; the answer is kept. */
	ANSWERED,

	/** Answered whole; the answer was too large to be kept. */
	ANSWER_NOT_KEPT

}
