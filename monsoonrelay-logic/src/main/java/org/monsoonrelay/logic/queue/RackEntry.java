package org.monsoonrelay.logic.queue;

import java.util.ArrayList;
import java.util.List;

import org.monsoonrelay.logic.placement.RackRoom;
import org.monsoonrelay.logic.placement.RackSummary;
import org.monsoonrelay.model.capacity.Resources;

/**
 * One rack as a queue owner believes it to be: its owner's last summary, less what was
 * chosen since, and the sizes it refused. Not thread-safe: confined to the control
 * thread.
 */
final class RackEntry implements RackRoom {

	private static final int REFUSED_FOR_SUMMARIES = 5;

	private final String session;

	private final RackSummary summary;

	private Resources free;

	private int largestProcessors;

	private boolean asked;

	private final List<Refusal> refused = new ArrayList<>();

	RackEntry(String session, RackSummary summary, RackEntry before) {
		this.session = session;
		this.summary = summary;
		this.free = summary.free();
		this.largestProcessors = summary.largestProcessors();
		if (before != null) {
			before.refused.stream()
				.filter((refusal) -> refusal.holdsFor(summary.free()))
				.forEach((refusal) -> this.refused.add(refusal.older()));
		}
	}

	boolean fits(Resources size) {
		return this.summary.workers() > 0 && this.free.covers(size) && this.largestProcessors >= size.processors()
				&& !hasRefused(size);
	}

	private boolean hasRefused(Resources size) {
		for (Refusal refusal : this.refused) {
			if (size.covers(refusal.size())) {
				return true;
			}
		}
		return false;
	}

	@Override
	public long room(Resources size) {
		long byProcessors = timesOnEach(this.free.processors(), size.processors());
		long byMemory = timesOnEach(this.free.memoryMiB(), size.memoryMiB());
		long byAccelerators = timesOnEach(this.free.accelerators(), size.accelerators());
		return this.summary.workers() * Math.min(Math.min(byProcessors, byMemory), byAccelerators);
	}

	private long timesOnEach(long sum, long size) {
		return (size > 0) ? sum / this.summary.workers() / size : Integer.MAX_VALUE;
	}

	@Override
	public String rack() {
		return this.summary.rack();
	}

	@Override
	public Resources free() {
		return this.free;
	}

	@Override
	public Resources capacity() {
		return this.summary.capacity();
	}

	@Override
	public boolean isAskedThisRound() {
		return this.asked;
	}

	/**
	 * Take room off for a choice, which asks the rack's owner in this round.
	 * @param size what was chosen
	 */
	void take(Resources size) {
		this.free = this.free.minus(size);
		this.asked = true;
	}

	void giveBack(Resources size) {
		if (capacity().covers(this.free.plus(size))) {
			this.free = this.free.plus(size);
		}
	}

	/**
	 * Note room that has come free on one worker.
	 * @param size the room
	 */
	void freed(Resources size) {
		giveBack(size);
		this.refused.clear();
		this.largestProcessors = Math.max(this.largestProcessors, size.processors());
	}

	void refuse(Resources size) {
		this.refused.add(new Refusal(size, this.summary.free(), 0));
	}

	void beginRound() {
		this.asked = false;
	}

	String session() {
		return this.session;
	}

	RackSummary summary() {
		return this.summary;
	}

	/**
	 * A size that a rack's owner had no worker for.
	 *
	 * @param size the size
	 * @param free what the summary said was free
	 * @param summaries how many summaries have come since
	 */
	private record Refusal(Resources size, Resources free, int summaries) {

		boolean holdsFor(Resources freeNow) {
			return this.summaries < REFUSED_FOR_SUMMARIES && this.free.covers(freeNow);
		}

		Refusal older() {
			return new Refusal(this.size, this.free, this.summaries + 1);
		}

	}

}
