package org.monsoonrelay.logic.idempotency;

/**
 * State of the request that a recorded idempotency key belongs to.
 */
public enum KeyState {

	/**
	 * The key is reserved; the request may be running or may have run without a known
	 * response.
	 */
	OPEN,

	/** The request received a complete response, which is stored. */
	ANSWERED,

	/** The request received a complete response, which was too large to be stored. */
	ANSWER_NOT_KEPT

}
