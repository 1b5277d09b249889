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
 * Finds the jobs whose rows the table rejects, so that these do not stop the writes of
 * all others. The jobs of a rejected write are written in groups, first a group without
 * jobs, then each half, and so on. Invariants: a job is held back only if a write with
 * the rows of this job alone was rejected and the write just before it was accepted; a
 * job that is held back stays so until its rows are accepted; between two attempts to
 * write held back jobs there is a write of other jobs. Not thread-safe: confined to the
 * control thread of the pool's owner.
 */
public final class RejectedRows {

	/**
	 * Number of rejections after which a job cannot be continued. The rows may have
	 * changed in between, as its runs end.
	 */
	private static final int MAX_REJECTIONS = 3;

	/** Interval at which the rows of a job that is held back are tried, milliseconds. */
	private static final long RETRY_INTERVAL_MILLIS = 1000;

	private final Deque<Set<String>> groups = new ArrayDeque<>();

	private final Map<String, HeldBackJob> heldBack = new HashMap<>();

	// Whether other jobs could be written since the last attempt for one that is held
	// back.
	private boolean othersWritten = true;

	private boolean lastAccepted;

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
		this.othersWritten |= this.groups.poll() == null;
		this.heldBack.keySet().removeAll(written);
	}

	/**
	 * Records that a write was rejected.
	 * @param written ids of the jobs whose rows it contained
	 * @param nowNanos current monotonic time, nanoseconds
	 * @return what is known of the cause
	 */
	public Cause rejected(Set<String> written, long nowNanos) {
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
		int rejections = this.heldBack.containsKey(id) ? this.heldBack.get(id).rejections() + 1 : 1;
		this.heldBack.put(id, new HeldBackJob(id, rejections, retryNanos));
		return new Cause.RowsOfJob(id, rejections, verdict(rejections));
	}

	private static Verdict verdict(int rejections) {
		if (rejections == MAX_REJECTIONS) {
			return Verdict.GIVEN_UP;
		}
		return (rejections < MAX_REJECTIONS) ? Verdict.HELD_BACK : Verdict.KNOWN;
	}

	/**
	 * Returns the jobs whose rows are not written for now. None of their tasks may be
	 * started, and none of their ends acknowledged.
	 * @return ids of the jobs, a view
	 */
	public Set<String> heldBack() {
		return Collections.unmodifiableSet(this.heldBack.keySet());
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

		/** It has been given up before. */
		KNOWN

	}

	private record HeldBackJob(String id, int rejections, long retryNanos) {

	}

}
