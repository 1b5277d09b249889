package org.monsoonrelay.logic.rows;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Finds the jobs whose rows the table does not accept, for good or for now, so that these
 * do not stop the writes of all others. The jobs of such a write are written in groups,
 * first a group without jobs, then each half, and so on. A group that is refused for now
 * is divided only if it is refused several times, each time just after an accepted write.
 * Invariants: a job is held back only if a write with the rows of this job alone was not
 * accepted and the write just before it was; a job that is held back stays so until its
 * rows are accepted; between two attempts to write held back jobs there is a write of
 * other jobs. Not thread-safe: confined to the control thread of the pool's owner.
 */
public final class RejectedRows {

	/**
	 * Number of refusals in a row after which a group is divided if the table refuses it
	 * for now, as it may do with any write.
	 */
	private static final int REFUSALS_PER_GROUP = 3;

	/** Interval at which the rows of a job that is held back are tried, milliseconds. */
	private static final long RETRY_INTERVAL_MILLIS = 1000;

	private final Deque<Set<String>> groups = new ArrayDeque<>();

	private final Map<String, HeldBackJob> heldBack = new HashMap<>();

	// Whether other jobs could be written since the last attempt for one that is held
	// back.
	private boolean othersWritten = true;

	private boolean lastAccepted;

	// Consecutive refusals of the group that is written next.
	private int refusals;

	/**
	 * Returns the jobs to which the next write is restricted.
	 * @param nowNanos current monotonic time, nanoseconds
	 * @return ids of the jobs, possibly none of them; empty if the write may contain all
	 * jobs that are not held back
	 */
	public Optional<Set<String>> nextGroup(long nowNanos) {
		if (this.groups.isEmpty() && this.othersWritten) {
			nextRetry(nowNanos).ifPresent((job) -> {
				this.othersWritten = false;
				this.groups.add(Set.of());
				this.groups.add(Set.of(job.id()));
			});
		}
		return Optional.ofNullable(this.groups.peek());
	}

	private Optional<HeldBackJob> nextRetry(long nowNanos) {
		return this.heldBack.values()
			.stream()
			.min(Comparator.comparingLong((job) -> job.retryNanos() - nowNanos))
			.filter((job) -> job.retryNanos() - nowNanos <= 0);
	}

	/**
	 * Records that a write was accepted.
	 * @param written ids of the jobs whose rows it contained
	 */
	public void accepted(Set<String> written) {
		this.lastAccepted = true;
		if (!written.isEmpty()) {
			this.refusals = 0;
		}
		this.othersWritten |= this.groups.poll() == null;
		this.heldBack.keySet().removeAll(written);
	}

	/**
	 * Records that a write without jobs was accepted, also if a group with jobs is next.
	 */
	public void acceptedWithoutJobs() {
		this.lastAccepted = true;
		if (!this.groups.isEmpty() && this.groups.peek().isEmpty()) {
			this.groups.poll();
		}
	}

	/**
	 * Records that a write was not accepted.
	 * @param written ids of the jobs whose rows it contained
	 * @param refusal whether it may be accepted if it is repeated
	 * @param nowNanos current monotonic time, nanoseconds
	 * @return what is known of the cause
	 */
	public Cause rejected(Set<String> written, Refusal refusal, long nowNanos) {
		boolean isAfterAccepted = this.lastAccepted;
		this.lastAccepted = false;
		if (written.isEmpty()) {
			return new Cause.OtherRows();
		}
		boolean isFirst = this.groups.poll() == null;
		if (isFirst) {
			this.groups.add(Set.of());
			this.groups.add(new LinkedHashSet<>(written));
			return new Cause.Unknown();
		}
		if (refusal == Refusal.FOR_NOW && !isRefusedOften(written, isAfterAccepted)) {
			this.groups.addFirst(written);
			this.groups.addFirst(Set.of());
			return new Cause.Unknown();
		}
		if (written.size() > 1) {
			List<String> ids = new ArrayList<>(written);
			int half = ids.size() / 2;
			this.groups.addFirst(new LinkedHashSet<>(ids.subList(half, ids.size())));
			this.groups.addFirst(new LinkedHashSet<>(ids.subList(0, half)));
			return new Cause.Unknown();
		}
		if (!isAfterAccepted) {
			this.groups.addFirst(written);
			this.groups.addFirst(Set.of());
			return new Cause.Unknown();
		}
		String id = written.iterator().next();
		long retryNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(RETRY_INTERVAL_MILLIS);
		HeldBackJob former = this.heldBack.getOrDefault(id, new HeldBackJob(id, 0, false, 0));
		int rejections = former.rejections() + 1;
		Verdict verdict = former.givenUp() ? Verdict.KNOWN : refusal.verdict(rejections);
		boolean givenUp = former.givenUp() || verdict == Verdict.GIVEN_UP;
		this.heldBack.put(id, new HeldBackJob(id, rejections, givenUp, retryNanos));
		return new Cause.RowsOfJob(id, rejections, verdict);
	}

	private boolean isRefusedOften(Set<String> written, boolean isAfterAccepted) {
		if (!isAfterAccepted) {
			return false;
		}
		this.refusals++;
		if (this.refusals < REFUSALS_PER_GROUP && !this.heldBack.keySet().containsAll(written)) {
			return false;
		}
		this.refusals = 0;
		return true;
	}

	/**
	 * Returns the jobs whose rows are not written for now. None of their tasks may be
	 * started, and none of their ends acknowledged.
	 * @return ids of the jobs, a view
	 */
	public Set<String> heldBack() {
		return Collections.unmodifiableSet(this.heldBack.keySet());
	}

	/** Whether a write that was not accepted may be accepted if it is repeated. */
	public enum Refusal {

		/** The content is never accepted. */
		FOR_GOOD(3, 2),

		/** The answer does not tell: any write may be refused so. */
		FOR_NOW(20, 1);

		/**
		 * Number of refusals of the rows of one job, a second apart, after which the job
		 * cannot be continued. The rows may change in between, as its runs end.
		 */
		private final int maxRejections;

		/** Number of refusals of one job that are worth telling. */
		private final int toldRejections;

		Refusal(int maxRejections, int toldRejections) {
			this.maxRejections = maxRejections;
			this.toldRejections = toldRejections;
		}

		private Verdict verdict(int rejections) {
			if (rejections >= this.maxRejections) {
				return Verdict.GIVEN_UP;
			}
			return (rejections <= this.toldRejections) ? Verdict.HELD_BACK : Verdict.KNOWN;
		}

	}

	/** Why a write was rejected. */
	public sealed interface Cause {

		/** Not known yet: the rows are written in smaller groups next. */
		record Unknown() implements Cause {

		}

		/** The rows of the owner itself. */
		record OtherRows() implements Cause {

		}

		/**
		 * The rows of one job.
		 *
		 * @param job id of the job
		 * @param rejections how often they were rejected alone
		 * @param verdict what becomes of the job
		 */
		record RowsOfJob(String job, int rejections, Verdict verdict) implements Cause {

		}

	}

	/** What becomes of a job whose rows were rejected. */
	public enum Verdict {

		/** It is held back until its rows are accepted. */
		HELD_BACK,

		/** It cannot be continued and has to end, so that its rows become small. */
		GIVEN_UP,

		/** It is held back or given up as before. */
		KNOWN

	}

	private record HeldBackJob(String id, int rejections, boolean givenUp, long retryNanos) {

	}

}
