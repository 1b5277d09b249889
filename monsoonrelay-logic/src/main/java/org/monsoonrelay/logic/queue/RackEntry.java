package org.monsoonrelay.logic.queue;

import java.util.ArrayList;
import java.util.List;

import org.monsoonrelay.logic.placement.RackCandidate;
import org.monsoonrelay.logic.placement.RackSummary;
import org.monsoonrelay.model.capacity.Resources;

/**
 * One rack in the rack directory: the last summary from its owner, the free capacity left
 * after the choices made since, and the sizes refused recently. Not thread-safe: confined
 * to the control thread.
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
	 * Deduct a choice from the free capacity and mark the rack as chosen in this round.
	 * @param size the size of the task
	 */
	void deduct(Resources size) {
		this.free = this.free.minus(size);
		this.chosenThisRound = true;
	}

	/**
	 * Add capacity back to the free capacity, unless the sum exceeds the rack's capacity.
	 * @param size the capacity
	 */
	void restore(Resources size) {
		if (capacity().covers(this.free.plus(size))) {
			this.free = this.free.plus(size);
		}
	}

	/**
	 * Add capacity that was freed on one worker. Clears the refusals, because they may no
	 * longer hold.
	 * @param size the freed capacity
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
	 * A size that the rack owner had no worker for.
	 *
	 * @param size the size
	 * @param freeAtRefusal the free capacity in the summary at the time of the refusal
	 * @param summariesSince the number of summaries received since
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
