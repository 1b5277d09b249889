package org.monsoonrelay.logic.pool;

/**
 * What an owner tells the other hosts, as far as messages reach them. Implementations do
 * not block.
 */
public interface OwnerPeers {

	/**
	 * The owner is at work. The others take over early if this stops while the row stands
	 * still.
	 * @param epoch the owner's epoch
	 */
	void alive(long epoch);

	/**
	 * The table does not take the owner's writes: another host had better own the pool.
	 * @param epoch the owner's epoch
	 */
	void inviteTakeOver(long epoch);

}
