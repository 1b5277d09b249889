package org.monsoonrelay.logic.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/**
 * Limits the rate at which one process writes rows. Invariant: no window of one second
 * contains more rows than the limit, so that a backlog after an outage does not overload
 * the store. Not thread-safe: confined to the control thread.
 */
public final class WriteBudget {

	private static final long WINDOW_NANOS = Duration.ofSeconds(1).toNanos();

	private final LongSupplier monotonicNanos;

	private final Deque<Spent> spent = new ArrayDeque<>();

	private int rowsPerSecond;

	private int spentInWindow;

	public WriteBudget(LongSupplier monotonicNanos, int rowsPerSecond) {
		this.monotonicNanos = monotonicNanos;
		this.rowsPerSecond = rowsPerSecond;
	}

	/**
	 * Create a budget without a limit.
	 * @return the budget
	 */
	public static WriteBudget unlimited() {
		return new WriteBudget(() -> 0, Integer.MAX_VALUE);
	}

	/**
	 * Set the share of this process after the number of processes changed.
	 * @param rows the limit in rows per second
	 */
	public void setRowsPerSecond(int rows) {
		this.rowsPerSecond = rows;
	}

	/**
	 * Number of rows that may be written now.
	 * @return the number, not negative
	 */
	public int available() {
		long now = this.monotonicNanos.getAsLong();
		while (!this.spent.isEmpty() && now - this.spent.peek().nanos() >= WINDOW_NANOS) {
			this.spentInWindow -= this.spent.remove().rows();
		}
		return Math.max(0, this.rowsPerSecond - this.spentInWindow);
	}

	/**
	 * Count rows that are being written against the limit.
	 * @param rows the number of rows
	 */
	public void spend(int rows) {
		if (this.rowsPerSecond != Integer.MAX_VALUE) {
			this.spent.add(new Spent(this.monotonicNanos.getAsLong(), rows));
			this.spentInWindow += rows;
		}
	}

	private record Spent(long nanos, int rows) {

	}

}
