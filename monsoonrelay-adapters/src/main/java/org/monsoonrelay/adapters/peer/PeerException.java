package org.monsoonrelay.adapters.peer;

/**
 * A peer gave no answer; the request may have taken effect.
 */
public class PeerException extends RuntimeException {

	public PeerException(String message, Throwable cause) {
		super(message, cause);
	}

}
