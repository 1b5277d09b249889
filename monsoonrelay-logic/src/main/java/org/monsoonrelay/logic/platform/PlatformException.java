package org.monsoonrelay.logic.platform;

/**
 * Thrown if the platform gave no usable answer. {@link #mayHaveTakenEffect()} states
 * whether a write may have been applied.
 */
public class PlatformException extends RuntimeException {

	private final boolean mayHaveTakenEffect;

	public PlatformException(String message, boolean mayHaveTakenEffect, Throwable cause) {
		super(message, cause);
		this.mayHaveTakenEffect = mayHaveTakenEffect;
	}

	/**
	 * Whether the call may have changed the state of the platform.
	 * @return {@code false} if the call certainly had no effect
	 */
	public boolean mayHaveTakenEffect() {
		return this.mayHaveTakenEffect;
	}

}
