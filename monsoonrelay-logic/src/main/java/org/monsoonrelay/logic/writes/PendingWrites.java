package org.monsoonrelay.logic.writes;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The writes of one term of which any may take effect, in the order in which they were
 * composed. All are conditional on the same version of a row that each of them changes.
 * Invariants: numbers are never used twice in a term, so that the row tells which write
 * took effect, whatever else two writes have in common; at most one of the writes takes
 * effect, and none of the others can once it has; at most {@link #MAX_WRITES} are kept.
 * Not thread-safe: confined to the control thread.
 *
 * @param <W> what is written
 */
public final class PendingWrites<W> {

	/**
	 * Maximum number of writes. A write replaces one that may take effect only if that
	 * one was the first or was rejected for its content, so that there are rarely three.
	 */
	static final int MAX_WRITES = 4;

	private final List<PendingWrite<W>> writes = new ArrayList<>();

	private long lastNumber;

	/**
	 * Begins a term.
	 * @param number number of the write that began it
	 */
	public void start(long number) {
		this.lastNumber = number;
	}

	/**
	 * Returns the number of the next write.
	 * @return a number that no write of this term had
	 */
	public long nextNumber() {
		return ++this.lastNumber;
	}

	/**
	 * Returns the number that was given out last.
	 * @return the number
	 */
	public long lastNumber() {
		return this.lastNumber;
	}

	/**
	 * Adds a write that is sent next.
	 * @param write the write
	 */
	public void add(PendingWrite<W> write) {
		if (isFull()) {
			throw new IllegalStateException("too many writes without an outcome");
		}
		this.writes.add(write);
	}

	/**
	 * Returns whether no further write may be added before one took effect. The last one
	 * has to be repeated.
	 * @return {@code true} if so
	 */
	public boolean isFull() {
		return this.writes.size() >= MAX_WRITES;
	}

	public boolean isEmpty() {
		return this.writes.isEmpty();
	}

	/**
	 * Removes a write of which no attempt has taken effect or will.
	 * @param write the write
	 */
	public void remove(PendingWrite<W> write) {
		this.writes.remove(write);
	}

	/**
	 * Returns all writes.
	 * @return the writes in the order in which they were composed
	 */
	public List<PendingWrite<W>> all() {
		return List.copyOf(this.writes);
	}

	/**
	 * Returns the write that was composed first.
	 * @return the write, empty if there is none
	 */
	public Optional<PendingWrite<W>> first() {
		return this.writes.stream().findFirst();
	}

	/**
	 * Returns the write with a number.
	 * @param number the number
	 * @return the write, empty if none of them has it
	 */
	public Optional<PendingWrite<W>> find(long number) {
		return this.writes.stream().filter((write) -> write.number() == number).findFirst();
	}

	/**
	 * Removes all writes, as one of them took effect.
	 * @param done that write
	 * @return the others, none of which can take effect any more
	 */
	public List<PendingWrite<W>> settle(PendingWrite<W> done) {
		List<PendingWrite<W>> undone = this.writes.stream().filter((write) -> write != done).toList();
		this.writes.clear();
		return undone;
	}

}
