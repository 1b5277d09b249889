package org.monsoonrelay.logic.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.monsoonrelay.model.submission.EligibilityTimes;
import org.monsoonrelay.model.submission.StepKey;

/**
 * The eligibility service on virtual time: it handles one call at a time for each calling
 * host, refuses calls beyond a limit, and issues tickets that expire. Calls of a host
 * that is down fail. Not thread-safe.
 */
final class SimulatedEligibility {

	/** Calls of one host that may wait, the one that is handled included. */
	private static final int MAX_WAITING_CALLS = 32;

	private static final long FAILURE_MILLIS = 2;

	private final VirtualTime time;

	private final SimulatedWorkers workers;

	private final Predicate<String> isHostUp;

	private final double eligibleShare;

	private final EligibilityTimes times;

	private final Map<String, Long> busyUntilMillis = new HashMap<>();

	private final Map<String, Integer> waitingCalls = new HashMap<>();

	/**
	 * Creates the service.
	 * @param time the virtual time
	 * @param workers the workers that accept its tickets
	 * @param isHostUp whether a host can make calls
	 * @param eligibleShare share of the workers that may run a step
	 * @param times duration of its calls and validity of its tickets
	 */
	SimulatedEligibility(VirtualTime time, SimulatedWorkers workers, Predicate<String> isHostUp, double eligibleShare,
			EligibilityTimes times) {
		this.time = time;
		this.workers = workers;
		this.isHostUp = isHostUp;
		this.eligibleShare = eligibleShare;
		this.times = times;
	}

	EligibilityTimes times() {
		return this.times;
	}

	/**
	 * Returns whether a worker may run a step, which follows from their names.
	 * @param step the step
	 * @param worker the worker's id
	 * @param share share of the workers that may run a step
	 * @return {@code true} if it may
	 */
	static boolean isEligible(StepKey step, String worker, double share) {
		return new Random((step + worker).hashCode() * 2_654_435_761L).nextDouble() < share;
	}

	/**
	 * Handles a call after those of the same host that came before it.
	 * @param host the calling host
	 * @param step the step
	 * @param ids ids of the workers to query
	 * @param timeoutMillis how long the caller waits for the reply, milliseconds
	 * @return tickets of the eligible workers by worker id
	 */
	CompletableFuture<Map<String, String>> requestTickets(String host, StepKey step, List<String> ids,
			long timeoutMillis) {
		CompletableFuture<Map<String, String>> reply = new CompletableFuture<>();
		if (!this.isHostUp.test(host) || this.waitingCalls.getOrDefault(host, 0) >= MAX_WAITING_CALLS) {
			after(FAILURE_MILLIS, () -> reply.completeExceptionally(new IllegalStateException("refused")));
			return reply;
		}
		long now = this.time.millis();
		long end = Math.max(now, this.busyUntilMillis.getOrDefault(host, now))
				+ (long) Math.ceil(this.times.costMillis(ids.size()));
		this.busyUntilMillis.put(host, end);
		this.waitingCalls.merge(host, 1, Integer::sum);
		after(end - now, () -> {
			this.waitingCalls.merge(host, -1, Integer::sum);
			if (this.isHostUp.test(host)) {
				reply.complete(issueTickets(step, ids));
			}
		});
		after(timeoutMillis, () -> reply.completeExceptionally(new TimeoutException("no answer")));
		return reply;
	}

	private Map<String, String> issueTickets(StepKey step, List<String> ids) {
		long endMillis = this.time.millis() + this.times.validMillis();
		return ids.stream()
			.filter((id) -> isEligible(step, id, this.eligibleShare))
			.collect(Collectors.toMap((id) -> id, (id) -> this.workers.ticket(id, endMillis)));
	}

	private void after(long millis, Runnable action) {
		this.time.schedule(action, millis, TimeUnit.MILLISECONDS);
	}

}
