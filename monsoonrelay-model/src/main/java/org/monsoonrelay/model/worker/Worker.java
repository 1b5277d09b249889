package org.monsoonrelay.model.worker;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.job.JobId;

/**
 * Committed capacity of one worker. Invariant: new reservations never raise the sum of
 * reservations and grants above the capacity, in any component and under any order of
 * calls; a call that would do so is refused and changes nothing. A worker accepts no
 * commitment before its first report, because the attempts that already run on it are not
 * known before. Not thread-safe: confined to the control thread of the rack's owner.
 */
public final class Worker {

	private final WorkerId id;

	private final Resources capacity;

	private final Map<AttemptId, Commitment> commitments = new HashMap<>();

	private final Map<JobId, Integer> attemptsByJob = new HashMap<>();

	private final Set<String> pastIncarnations = new HashSet<>();

	private Resources committed = Resources.NONE;

	private String incarnation = "";

	private boolean reported;

	private boolean leaving;

	public Worker(WorkerId id, Resources capacity) {
		this.id = id;
		this.capacity = capacity;
	}

	/**
	 * Reserve capacity for an attempt until a deadline.
	 * @param attempt the attempt
	 * @param size resources that the task requires
	 * @param deadline when the reservation expires unless it is granted before
	 * @return {@code true} if the capacity is held; {@code false} if nothing changed
	 */
	public boolean reserve(AttemptId attempt, Resources size, Instant deadline) {
		if (this.commitments.containsKey(attempt)) {
			return true;
		}
		if (!canAccept(size)) {
			return false;
		}
		add(attempt, new Commitment(size, Optional.of(deadline)));
		return true;
	}

	/**
	 * Convert a reservation into a grant, which is held until it is released.
	 * @param attempt the attempt
	 * @return {@code true} if the attempt had a reservation or grant
	 */
	public boolean grant(AttemptId attempt) {
		Commitment held = this.commitments.get(attempt);
		if (held == null) {
			return false;
		}
		this.commitments.put(attempt, new Commitment(held.size(), Optional.empty()));
		return true;
	}

	/**
	 * Release the capacity that an attempt holds. Idempotent.
	 * @param attempt the attempt
	 */
	public void release(AttemptId attempt) {
		Commitment held = this.commitments.remove(attempt);
		if (held != null) {
			this.committed = this.committed.minus(held.size());
			this.attemptsByJob.computeIfPresent(attempt.job(), (job, count) -> (count > 1) ? count - 1 : null);
		}
	}

	/**
	 * Release the reservations whose deadline has passed.
	 * @param now the current time
	 * @return the attempts whose reservations were released
	 */
	public List<AttemptId> expireReservations(Instant now) {
		List<AttemptId> expired = this.commitments.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().hasExpired(now))
			.map(Map.Entry::getKey)
			.toList();
		expired.forEach(this::release);
		return expired;
	}

	/**
	 * Apply a worker's report of the attempts that it runs. They are recorded as grants
	 * of the reported size, also if they were not known before. A worker that runs more
	 * than its capacity accepts no new work until enough of it has ended. A late report
	 * of an earlier incarnation is ignored.
	 * @param reportedIncarnation incarnation of the worker
	 * @param running sizes of the attempts that run on the worker
	 * @return the attempts committed under an earlier incarnation that the worker has
	 * lost
	 */
	public List<AttemptId> applyReport(String reportedIncarnation, Map<AttemptId, Resources> running) {
		if (this.pastIncarnations.contains(reportedIncarnation)) {
			return List.of();
		}
		List<AttemptId> lost = List.of();
		if (!this.incarnation.equals(reportedIncarnation)) {
			lost = this.commitments.keySet().stream().filter((attempt) -> !running.containsKey(attempt)).toList();
			lost.forEach(this::release);
			this.pastIncarnations.add(this.incarnation);
			this.incarnation = reportedIncarnation;
		}
		running.forEach(this::adopt);
		this.reported = true;
		return lost;
	}

	/**
	 * Whether new work of a size can be committed now.
	 * @param size resources that the task requires
	 * @return {@code true} if the free capacity suffices and the worker accepts new work
	 */
	public boolean canAccept(Resources size) {
		return this.reported && !this.leaving && isWithinCapacity() && freeCapacity().covers(size);
	}

	/**
	 * Set whether the worker is leaving. Running attempts continue on a leaving worker,
	 * but nothing new is committed.
	 * @param isLeaving whether the worker is leaving
	 */
	public void setLeaving(boolean isLeaving) {
		this.leaving = isLeaving;
	}

	/**
	 * Capacity that is not committed.
	 * @return the free capacity, zero if the worker runs more than its capacity
	 */
	public Resources freeCapacity() {
		return isWithinCapacity() ? this.capacity.minus(this.committed) : Resources.NONE;
	}

	private boolean isWithinCapacity() {
		return this.capacity.covers(this.committed);
	}

	private void adopt(AttemptId attempt, Resources size) {
		release(attempt);
		add(attempt, new Commitment(size, Optional.empty()));
	}

	private void add(AttemptId attempt, Commitment commitment) {
		this.committed = this.committed.plus(commitment.size());
		this.attemptsByJob.merge(attempt.job(), 1, Integer::sum);
		this.commitments.put(attempt, commitment);
	}

	public WorkerId id() {
		return this.id;
	}

	public Resources capacity() {
		return this.capacity;
	}

	public Resources committed() {
		return this.committed;
	}

	public String incarnation() {
		return this.incarnation;
	}

	public boolean hasReported() {
		return this.reported;
	}

	public boolean isLeaving() {
		return this.leaving;
	}

	/**
	 * Attempts that hold a reservation or a grant.
	 * @return a copy of the attempts
	 */
	public Collection<AttemptId> attempts() {
		return List.copyOf(this.commitments.keySet());
	}

	/**
	 * Number of attempts of a job that hold a reservation or a grant.
	 * @param job the job
	 * @return the count
	 */
	public int attemptCount(JobId job) {
		return this.attemptsByJob.getOrDefault(job, 0);
	}

	/**
	 * Whether an attempt holds a reservation or a grant.
	 * @param attempt the attempt
	 * @return {@code true} if it holds one
	 */
	public boolean hasCommitment(AttemptId attempt) {
		return this.commitments.containsKey(attempt);
	}

	private record Commitment(Resources size, Optional<Instant> deadline) {

		boolean hasExpired(Instant now) {
			return this.deadline.filter((at) -> !now.isBefore(at)).isPresent();
		}

	}

}
