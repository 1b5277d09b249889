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

	private final Set<String> asked = new HashSet<>();

	private final Map<String, Ticket> tickets = new HashMap<>();

	private boolean open;

	private int rank;

	private long notBeforeNanos;

	StepEligibility(long nowNanos) {
		this.notBeforeNanos = nowNanos;
	}

	/**
	 * Whether a question may be asked now.
	 * @param nowNanos the current time
	 * @return {@code false} while one is open and for a pause after one that failed
	 */
	boolean mayAsk(long nowNanos) {
		return !this.open && nowNanos - this.notBeforeNanos >= 0;
	}

	boolean isOpen() {
		return this.open;
	}

	void opened() {
		this.open = true;
	}

	void answered(List<String> workers, Map<String, String> answer, long expiresNanos) {
		this.open = false;
		this.asked.addAll(workers);
		answer.forEach((worker, ticket) -> this.tickets.put(worker, new Ticket(ticket, expiresNanos)));
	}

	void failed(long retryNanos) {
		this.open = false;
		this.notBeforeNanos = retryNanos;
	}

	/**
	 * Note that a worker did not take its ticket.
	 * @param worker the worker's id
	 * @param nowNanos the current time
	 */
	void refused(String worker, long nowNanos) {
		this.tickets.computeIfPresent(worker, (id, ticket) -> new Ticket(ticket.text(), nowNanos));
	}

	/**
	 * Whether a first answer has come.
	 * @return {@code true} if so
	 */
	boolean isAnswered() {
		return !this.asked.isEmpty();
	}

	boolean wasAsked(String worker) {
		return this.asked.contains(worker);
	}

	/**
	 * Workers known as allowed, with a ticket that may have lapsed.
	 * @return their ids
	 */
	Set<String> allowed() {
		return this.tickets.keySet();
	}

	boolean isAllowed(String worker) {
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

	void rank(int place) {
		this.rank = place;
	}

	private record Ticket(String text, long expiresNanos) {

	}

}
