package org.monsoonrelay.logic.pool;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;

import org.monsoonrelay.model.submission.EligibilityTimes;
import org.monsoonrelay.model.submission.StepKey;

/**
 * The eligibility service on virtual time. Its calls take a fixed time, or what they
 * cost, and then it answers those of a host one after the other. Not thread-safe.
 */
final class SimulatedEligibility implements EligibilityClient {

	private final VirtualTime time;

	private final UnaryOperator<String> tickets;

	// By host, when its last call is answered.
	private final Map<String, Long> answeredMillis = new HashMap<>();

	private double eligibleShare = 1;

	private long fixedMillis;

	private EligibilityTimes times = new EligibilityTimes(8, 0.1, 2000);

	private boolean queued;

	/**
	 * Creates a service that answers at once and finds all workers eligible.
	 * @param time the virtual time
	 * @param tickets returns the ticket of a worker
	 */
	SimulatedEligibility(VirtualTime time, UnaryOperator<String> tickets) {
		this.time = time;
		this.tickets = tickets;
	}

	void setEligibleShare(double share) {
		this.eligibleShare = share;
	}

	void setFixedMillis(long millis) {
		this.fixedMillis = millis;
	}

	/**
	 * Makes calls take what they cost.
	 * @param next the costs
	 */
	void setTimes(EligibilityTimes next) {
		this.times = next;
		this.queued = true;
	}

	/**
	 * Returns the costs that queues are configured with.
	 * @return the costs
	 */
	EligibilityTimes times() {
		return this.times;
	}

	boolean isEligible(StepKey step, String worker) {
		return new Random((step + worker).hashCode() * 2_654_435_761L).nextDouble() < this.eligibleShare;
	}

	@Override
	public CompletableFuture<Map<String, String>> requestTickets(String host, StepKey step, List<String> ids,
			Duration timeout) {
		Map<String, String> eligible = ids.stream()
			.filter((id) -> isEligible(step, id))
			.collect(Collectors.toMap((id) -> id, this.tickets));
		long millis = this.queued ? queueCall(host, ids.size()) : this.fixedMillis;
		if (millis == 0) {
			return CompletableFuture.completedFuture(eligible);
		}
		CompletableFuture<Map<String, String>> reply = new CompletableFuture<>();
		this.time.schedule((Runnable) () -> reply.complete(eligible), millis, TimeUnit.MILLISECONDS);
		return reply;
	}

	private long queueCall(String host, int workers) {
		long now = this.time.millis();
		long begin = Math.max(now, this.answeredMillis.getOrDefault(host, now));
		long end = begin + (long) Math.ceil(this.times.costMillis(workers));
		this.answeredMillis.put(host, end);
		return end - now;
	}

}
