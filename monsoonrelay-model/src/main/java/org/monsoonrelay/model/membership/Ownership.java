package org.monsoonrelay.model.membership;

/**
 * Row that says which session owns a rack or a team's queue. The epoch grows by one with
 * each change of owner, so that a former owner can be fenced off. Immutable.
 *
 * @param session the owner's session, empty if released
 * @param epoch the epoch of this ownership
 */
public record Ownership(String session, long epoch) {

	/**
	 * Never owned.
	 */
	public static final Ownership NONE = new Ownership("", 0);

	/**
	 * The ownership that follows when another session takes over.
	 * @param newSession the new owner's session
	 * @return the ownership with the next epoch
	 */
	public Ownership transferredTo(String newSession) {
		return new Ownership(newSession, this.epoch + 1);
	}

}
