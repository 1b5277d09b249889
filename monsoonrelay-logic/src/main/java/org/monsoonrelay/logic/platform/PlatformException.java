package org.monsoonrelay.logic.platform;

/**
 * The platform gave no usable answer. Whether a write took effect is told by
 * {@link #mayHaveTakenEffect()}.
 */
public class PlatformException extends RuntimeException {

	private final boolean mayHaveTakenEffect;

	public PlatformException(String message, boolean mayHaveTakenEffect, Throwable cause) {
		super(message, cause);
		this.mayHaveTakenEffect = mayHaveTakenEffect;
	}

	/**
	 * Tell whether the call may have changed something.
	 * @return {@code false} if it is certain that nothing was changed
	 */
	public boolean mayHaveTakenEffect() {
		return this.mayHaveTakenEffect;
	}

}
