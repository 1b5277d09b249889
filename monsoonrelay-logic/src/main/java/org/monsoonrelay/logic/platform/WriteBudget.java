package org.monsoonrelay.logic.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/**
 * How many rows one process may write. Invariant: no span of a second sees more rows than
 * allowed, so that a backlog after an outage does not overrun the store. Not thread-safe:
 * confined to the control thread.
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
	 * A budget without a limit.
	 * @return the budget
	 */
	public static WriteBudget unlimited() {
		return new WriteBudget(() -> 0, Integer.MAX_VALUE);
	}

	/**
	 * Change the share of this process, because processes came or went.
	 * @param rows rows a second
	 */
	public void setRowsPerSecond(int rows) {
		this.rowsPerSecond = rows;
	}

	/**
	 * Rows that may be written now.
	 * @return the count, 0 or more
	 */
	public int available() {
		long now = this.monotonicNanos.getAsLong();
		while (!this.spent.isEmpty() && now - this.spent.peek().nanos() >= WINDOW_NANOS) {
			this.spentInWindow -= this.spent.remove().rows();
		}
		return Math.max(0, this.rowsPerSecond - this.spentInWindow);
	}

	/**
	 * Note rows that are being written.
	 * @param rows the count
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
