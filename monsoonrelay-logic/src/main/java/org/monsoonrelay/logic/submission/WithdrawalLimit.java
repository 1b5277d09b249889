package org.monsoonrelay.logic.submission;

import java.util.function.LongSupplier;

import org.monsoonrelay.logic.platform.WriteBudget;

/**
 * Limits how many withdrawals one host stores, as any caller may cancel ids that never
 * existed: the table's writes are for jobs. Cancellations of stored jobs are not limited.
 * Thread-safe.
 */
final class WithdrawalLimit {

	/**
	 * Maximum withdrawals of one host per second. Callers seldom cancel a job that is not
	 * stored yet; six hosts take a fifth of the table's writes with it.
	 */
	private static final int MAX_PER_SECOND = 20;

	private final WriteBudget budget;

	WithdrawalLimit(LongSupplier nanoTime) {
		this.budget = new WriteBudget(nanoTime, MAX_PER_SECOND);
	}

	/**
	 * Counts a withdrawal that is about to be stored.
	 * @return {@code false} if it must not be stored now
	 */
	synchronized boolean tryAcquire() {
		if (this.budget.available() == 0) {
			return false;
		}
		this.budget.spend(1);
		return true;
	}

}
