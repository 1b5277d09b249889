package org.monsoonrelay.logic.queue;

import java.util.ArrayList;
import java.util.List;

import org.monsoonrelay.logic.placement.RackCandidate;
import org.monsoonrelay.logic.placement.RackSummary;
import org.monsoonrelay.model.capacity.Resources;

/**
 * One rack as a queue owner believes it to be: its owner's last summary, less what was
 * chosen since, and the sizes it refused. Not thread-safe: confined to the control
 * thread.
 */
final class RackEntry implements RackCandidate {

	private static final int REFUSAL_LIFETIME_SUMMARIES = 5;

	private final String session;

	private final RackSummary summary;

	private Resources free;

	private int largestProcessors;

	private boolean chosenThisRound;

	private final List<Refusal> refusals = new ArrayList<>();

	RackEntry(String session, RackSummary summary, RackEntry previous) {
		this.session = session;
		this.summary = summary;
		this.free = summary.free();
		this.largestProcessors = summary.largestProcessors();
		if (previous != null) {
			previous.refusals.stream()
				.filter((refusal) -> refusal.isInForce(summary.free()))
				.forEach((refusal) -> this.refusals.add(refusal.agedByOne()));
		}
	}

	boolean fits(Resources size) {
		return this.summary.workers() > 0 && this.free.covers(size) && this.largestProcessors >= size.processors()
				&& !hasRefused(size);
	}

	private boolean hasRefused(Resources size) {
		for (Refusal refusal : this.refusals) {
			if (size.covers(refusal.size())) {
				return true;
			}
		}
		return false;
	}

	@Override
	public long estimatedTaskCount(Resources size) {
		long byProcessors = averagePerWorker(this.free.processors(), size.processors());
		long byMemory = averagePerWorker(this.free.memoryMiB(), size.memoryMiB());
		long byAccelerators = averagePerWorker(this.free.accelerators(), size.accelerators());
		return this.summary.workers() * Math.min(Math.min(byProcessors, byMemory), byAccelerators);
	}

	private long averagePerWorker(long sum, long size) {
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
	public boolean isChosenThisRound() {
		return this.chosenThisRound;
	}

	/**
	 * Take room off for a choice, which asks the rack's owner in this round.
	 * @param size what was chosen
	 */
	void deduct(Resources size) {
		this.free = this.free.minus(size);
		this.chosenThisRound = true;
	}

	void restore(Resources size) {
		if (capacity().covers(this.free.plus(size))) {
			this.free = this.free.plus(size);
		}
	}

	/**
	 * Note room that has come free on one worker.
	 * @param size the room
	 */
	void addFreed(Resources size) {
		restore(size);
		this.refusals.clear();
		this.largestProcessors = Math.max(this.largestProcessors, size.processors());
	}

	void addRefusal(Resources size) {
		this.refusals.add(new Refusal(size, this.summary.free(), 0));
	}

	void beginRound() {
		this.chosenThisRound = false;
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
	private record Refusal(Resources size, Resources freeAtRefusal, int summariesSince) {

		boolean isInForce(Resources freeNow) {
			return this.summariesSince < REFUSAL_LIFETIME_SUMMARIES && this.freeAtRefusal.covers(freeNow);
		}

		Refusal agedByOne() {
			return new Refusal(this.size, this.freeAtRefusal, this.summariesSince + 1);
		}

	}

}
