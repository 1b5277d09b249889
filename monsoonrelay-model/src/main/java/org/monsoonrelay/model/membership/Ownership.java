package org.monsoonrelay.model.membership;

/**
 * Row that records which session owns a rack or a team's queue. The epoch increases by
 * one with each change of owner, so that a former owner can be fenced. Immutable.
 *
 * @param session the owner's session, empty if released
 * @param epoch the epoch of this ownership
 */
public record Ownership(String session, long epoch) {

	/**
	 * Ownership of a rack or queue that was never owned.
	 */
	public static final Ownership NONE = new Ownership("", 0);

	/**
	 * Ownership after another session has taken over.
	 * @param newSession the new owner's session
	 * @return the ownership with the next epoch
	 */
	public Ownership transferredTo(String newSession) {
		return new Ownership(newSession, this.epoch + 1);
	}

}
