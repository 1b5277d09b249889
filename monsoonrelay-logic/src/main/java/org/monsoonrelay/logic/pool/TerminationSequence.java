package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.TreeSet;

/**
 * Which terminations of one incarnation of a worker are processed, durable or deferred. A
 * worker numbers its terminations from 1 in each incarnation. Not thread-safe: confined
 * to the control thread.
 */
final class TerminationSequence {

	private long processed;

	private long durable;

	// Sequence numbers that are processed although an earlier one may be deferred.
	private final TreeSet<Long> processedAhead = new TreeSet<>();

	private List<TerminatedTask> deferred = List.of();

	boolean hasProcessed(TerminatedTask termination) {
		return termination.sequence() <= this.processed || this.processedAhead.contains(termination.sequence());
	}

	void markProcessed(TerminatedTask termination) {
		this.processedAhead.add(termination.sequence());
	}

	/**
	 * Defers terminations that were reported but cannot be processed yet. Only
	 * terminations before the first deferred one count as processed without gaps.
	 * @param terminations the deferred terminations by ascending sequence number
	 */
	void defer(List<TerminatedTask> terminations) {
		this.deferred = List.copyOf(terminations);
		long firstDeferred = terminations.isEmpty() ? Long.MAX_VALUE : terminations.get(0).sequence();
		while (!this.processedAhead.isEmpty() && this.processedAhead.first() < firstDeferred) {
			this.processed = this.processedAhead.pollFirst();
		}
	}

	List<TerminatedTask> deferred() {
		return this.deferred;
	}

	/**
	 * Records that the effects of terminations are durable, so that the worker may
	 * discard them.
	 * @param sequence sequence number of the last one
	 */
	void markDurable(long sequence) {
		this.durable = Math.max(this.durable, sequence);
	}

	/**
	 * Returns the sequence number up to which all terminations are processed.
	 * @return the sequence number, 0 for none
	 */
	long processed() {
		return this.processed;
	}

	/**
	 * Returns the sequence number up to which all terminations are durable.
	 * @return the sequence number, 0 for none
	 */
	long durable() {
		return this.durable;
	}

	boolean isDurable() {
		return this.processed <= this.durable;
	}

}
