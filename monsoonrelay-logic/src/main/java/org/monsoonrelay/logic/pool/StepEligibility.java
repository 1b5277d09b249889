package org.monsoonrelay.logic.pool;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The known eligibility of workers for one step. Whether a worker is eligible does not
 * change and is kept; tickets expire. Not thread-safe: confined to the control thread.
 */
final class StepEligibility {

	/** Eligibility of a step for which no request has been made. */
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
	 * Whether a request may be sent now.
	 * @param nowNanos the current time
	 * @return {@code false} while a request is pending and during the delay after a
	 * failed one
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

	void recordReply(List<String> workers, Map<String, String> newTickets, long expiresNanos) {
		this.requestPending = false;
		this.queriedWorkers.addAll(workers);
		newTickets.forEach((worker, ticket) -> this.tickets.put(worker, new Ticket(ticket, expiresNanos)));
	}

	void recordFailure(long retryNanos) {
		this.requestPending = false;
		this.earliestRequestNanos = retryNanos;
	}

	/**
	 * Expires the ticket of a worker that rejected it.
	 * @param worker the worker's id
	 * @param nowNanos the current time
	 */
	void expireTicket(String worker, long nowNanos) {
		this.tickets.computeIfPresent(worker, (id, ticket) -> new Ticket(ticket.text(), nowNanos));
	}

	/**
	 * Forgets what is known of a worker that has restarted.
	 * @param worker the worker's id
	 */
	void forget(String worker) {
		this.queriedWorkers.remove(worker);
		this.tickets.remove(worker);
	}

	/**
	 * Whether at least one reply has been received.
	 * @return {@code true} if so
	 */
	boolean hasReply() {
		return !this.queriedWorkers.isEmpty();
	}

	boolean wasQueried(String worker) {
		return this.queriedWorkers.contains(worker);
	}

	/**
	 * Workers known to be eligible; their tickets may have expired.
	 * @return their ids
	 */
	Set<String> eligibleWorkers() {
		return this.tickets.keySet();
	}

	boolean isEligible(String worker) {
		return this.tickets.containsKey(worker);
	}

	/**
	 * The valid ticket of a worker.
	 * @param worker the worker's id
	 * @param nowNanos the current time
	 * @return the ticket, empty if there is none or it has expired
	 */
	Optional<String> ticket(String worker, long nowNanos) {
		Ticket ticket = this.tickets.get(worker);
		boolean isValid = ticket != null && nowNanos - ticket.expiresNanos() < 0;
		return isValid ? Optional.of(ticket.text()) : Optional.empty();
	}

	int rank() {
		return this.rank;
	}

	void setRank(int newRank) {
		this.rank = newRank;
	}

	private record Ticket(String text, long expiresNanos) {

	}

}
