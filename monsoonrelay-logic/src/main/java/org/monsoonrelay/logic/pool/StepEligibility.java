package org.monsoonrelay.logic.pool;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What is known of the workers that may run one step. Which ones are allowed does not
 * change and is kept; their tickets lapse. Not thread-safe: confined to the control
 * thread.
 */
final class StepEligibility {

	/** Nothing is known yet. */
	static final StepEligibility UNKNOWN = new StepEligibility(0);

	private final Set<String> queriedWorkers = new HashSet<>();

	private final Map<String, Ticket> tickets = new HashMap<>();

	private boolean requestPending;

	private int rank;

	private long earliestRequestNanos;

	StepEligibility(long nowNanos) {
		this.earliestRequestNanos = nowNanos;
	}

	/**
	 * Whether a question may be asked now.
	 * @param nowNanos the current time
	 * @return {@code false} while one is open and for a pause after one that failed
	 */
	boolean mayRequest(long nowNanos) {
		return !this.requestPending && nowNanos - this.earliestRequestNanos >= 0;
	}

	boolean isRequestPending() {
		return this.requestPending;
	}

	void recordRequest() {
		this.requestPending = true;
	}

	void recordReply(List<String> workers, Map<String, String> answer, long expiresNanos) {
		this.requestPending = false;
		this.queriedWorkers.addAll(workers);
		answer.forEach((worker, ticket) -> this.tickets.put(worker, new Ticket(ticket, expiresNanos)));
	}

	void recordFailure(long retryNanos) {
		this.requestPending = false;
		this.earliestRequestNanos = retryNanos;
	}

	/**
	 * Note that a worker did not take its ticket.
	 * @param worker the worker's id
	 * @param nowNanos the current time
	 */
	void expireTicket(String worker, long nowNanos) {
		this.tickets.computeIfPresent(worker, (id, ticket) -> new Ticket(ticket.text(), nowNanos));
	}

	/**
	 * Whether a first answer has come.
	 * @return {@code true} if so
	 */
	boolean hasReply() {
		return !this.queriedWorkers.isEmpty();
	}

	boolean wasQueried(String worker) {
		return this.queriedWorkers.contains(worker);
	}

	/**
	 * Workers known as allowed, with a ticket that may have lapsed.
	 * @return their ids
	 */
	Set<String> eligibleWorkers() {
		return this.tickets.keySet();
	}

	boolean isEligible(String worker) {
		return this.tickets.containsKey(worker);
	}

	/**
	 * A ticket that can be used now.
	 * @param worker the worker's id
	 * @param nowNanos the current time
	 * @return the ticket, empty if it has to be renewed
	 */
	Optional<String> ticket(String worker, long nowNanos) {
		Ticket ticket = this.tickets.get(worker);
		boolean isValid = ticket != null && nowNanos - ticket.expiresNanos() < 0;
		return isValid ? Optional.of(ticket.text()) : Optional.empty();
	}

	int rank() {
		return this.rank;
	}

	void setRank(int place) {
		this.rank = place;
	}

	private record Ticket(String text, long expiresNanos) {

	}

}
