package org.monsoonrelay.logic.routing;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.request.NotRunReason;
import org.monsoonrelay.model.request.RequestOutcome;

/**
 * Routes the requests of one service. A request takes a free slot or waits, ordered by
 * class and deadline; one that cannot make its deadline is refused at once. Invariants: a
 * request that may not be repeated is on the wire at most once; "not run" is said only if
 * no byte reached a backend server or the server itself refused before it started; each
 * slot taken is given back once. Thread-safe.
 */
public final class ServiceRouter {

	private static final Duration MINIMUM_RETRY_AFTER = Duration.ofSeconds(1);

	private static final Duration MAXIMUM_RETRY_AFTER = Duration.ofSeconds(60);

	private final BackendPool pool;

	private final BackendClient client;

	private final RetryBudget retries;

	private final InstantSource clock;

	private final int maximumWaiting;

	private final Duration attemptLimit;

	private final WaitEstimate estimate = new WaitEstimate();

	private final AtomicLong sequence = new AtomicLong();

	private final TreeSet<WaitingRequest> waiting = new TreeSet<>(WaitingRequest.ORDER);

	public ServiceRouter(BackendPool pool, BackendClient client, RetryBudget retries, InstantSource clock,
			int maximumWaiting, Duration attemptLimit) {
		this.pool = pool;
		this.client = client;
		this.retries = retries;
		this.clock = clock;
		this.maximumWaiting = maximumWaiting;
		this.attemptLimit = attemptLimit;
	}

	/**
	 * Route a request.
	 * @param request the request
	 * @return its outcome; never fails
	 */
	public CompletableFuture<RequestOutcome> route(ForwardedRequest request) {
		WaitingRequest arrived = new WaitingRequest(request, this.sequence.incrementAndGet());
		if (!this.clock.instant().isBefore(request.deadline())) {
			refuse(arrived, NotRunReason.DEADLINE);
		}
		else if (!this.pool.hasServers()) {
			refuse(arrived, NotRunReason.NO_BACKEND_SERVER);
		}
		else if (isTooLate(arrived)) {
			refuse(arrived, NotRunReason.OVERLOAD);
		}
		else {
			enqueue(arrived);
			dispatch();
		}
		return arrived.outcome();
	}

	private synchronized boolean isTooLate(WaitingRequest arrived) {
		if (this.waiting.isEmpty()) {
			return false;
		}
		int ahead = this.waiting.headSet(arrived).size();
		Duration wait = this.estimate.wait(ahead, this.pool.inFlight());
		return !this.clock.instant().plus(wait).isBefore(arrived.request().deadline());
	}

	private synchronized void enqueue(WaitingRequest arrived) {
		this.waiting.add(arrived);
	}

	/**
	 * Refuse requests whose deadline has come while they waited, and give free slots to
	 * the others. To be called regularly.
	 */
	public void expire() {
		Instant now = this.clock.instant();
		List<WaitingRequest> late = new ArrayList<>();
		synchronized (this) {
			this.waiting.removeIf((entry) -> {
				boolean isLate = !now.isBefore(entry.request().deadline());
				if (isLate) {
					late.add(entry);
				}
				return isLate;
			});
		}
		late.forEach((entry) -> refuse(entry, NotRunReason.DEADLINE));
		dispatch();
	}

	private void dispatch() {
		Optional<Dispatched> next = next();
		while (next.isPresent()) {
			attempt(next.get().request(), next.get().slot());
			next = next();
		}
		surplus().ifPresent((shed) -> refuse(shed, NotRunReason.OVERLOAD));
	}

	private synchronized Optional<WaitingRequest> surplus() {
		return (this.waiting.size() > this.maximumWaiting) ? Optional.of(this.waiting.pollLast()) : Optional.empty();
	}

	private synchronized Optional<Dispatched> next() {
		for (WaitingRequest candidate : this.waiting) {
			Optional<BackendSlot> slot = this.pool.acquire(candidate.tried());
			if (slot.isEmpty() && !this.pool.hasUntried(candidate.tried())) {
				candidate.tried().clear();
				slot = this.pool.acquire(candidate.tried());
			}
			if (slot.isPresent()) {
				this.waiting.remove(candidate);
				return Optional.of(new Dispatched(candidate, slot.get()));
			}
			if (candidate.tried().isEmpty()) {
				return Optional.empty();
			}
		}
		return Optional.empty();
	}

	private void attempt(WaitingRequest waitingRequest, BackendSlot slot) {
		if (waitingRequest.beginAttempt()) {
			this.retries.request();
		}
		Instant begun = this.clock.instant();
		send(waitingRequest.request(), slot.address(), begun).whenComplete((result, failure) -> {
			AttemptResult ended = (result != null) ? result
					: new AttemptResult.Broken(false, String.valueOf(failure.getMessage()));
			this.pool.release(slot, ended);
			if (ended instanceof AttemptResult.Whole) {
				this.estimate.answered(Duration.between(begun, this.clock.instant()));
			}
			waitingRequest.tried().add(slot.address());
			conclude(waitingRequest, ended);
			dispatch();
		});
	}

	private CompletableFuture<AttemptResult> send(ForwardedRequest request, HostAddress server, Instant begun) {
		Instant limit = begun.plus(this.attemptLimit);
		boolean canRepeat = request.operation().repeatable() && limit.isBefore(request.deadline());
		try {
			return this.client.send(server, request, canRepeat ? limit : request.deadline());
		}
		catch (RuntimeException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private void conclude(WaitingRequest ended, AttemptResult result) {
		if (result instanceof AttemptResult.Whole whole) {
			ended.outcome().complete(new RequestOutcome.Answered(whole.status(), whole.headers(), whole.body()));
			return;
		}
		boolean silent = result instanceof AttemptResult.Silent;
		if (silent || result instanceof AttemptResult.Broken) {
			ended.markMayHaveRun();
		}
		boolean mayGoOn = !ended.mayHaveRun() || ended.request().operation().repeatable();
		boolean inTime = this.clock.instant().isBefore(ended.request().deadline());
		boolean refusedByServer = result instanceof AttemptResult.Refused;
		if (mayGoOn && inTime && (refusedByServer || silent || this.retries.tryRetry())) {
			if (refusedByServer) {
				ended.tried().clear();
			}
			enqueue(ended);
			return;
		}
		refuse(ended, inTime ? NotRunReason.NO_BACKEND_SERVER : NotRunReason.DEADLINE);
	}

	private void refuse(WaitingRequest refused, NotRunReason reason) {
		if (refused.mayHaveRun()) {
			refused.outcome().complete(new RequestOutcome.Unknown("an attempt was sent and brought no whole answer"));
			return;
		}
		refused.outcome().complete(new RequestOutcome.NotRun(reason, retryAfter()));
	}

	private Duration retryAfter() {
		// The time until a slot is free for a request that comes last.
		Duration wait = this.estimate.wait(waiting(), this.pool.inFlight());
		if (wait.compareTo(MINIMUM_RETRY_AFTER) < 0) {
			return MINIMUM_RETRY_AFTER;
		}
		return (wait.compareTo(MAXIMUM_RETRY_AFTER) > 0) ? MAXIMUM_RETRY_AFTER : wait;
	}

	/**
	 * Number of requests that wait for a slot.
	 * @return the count
	 */
	public synchronized int waiting() {
		return this.waiting.size();
	}

	/**
	 * Number of requests on the wire.
	 * @return the count
	 */
	public int inFlight() {
		return this.pool.inFlight();
	}

	/**
	 * The backend servers of the service.
	 * @return the pool
	 */
	public BackendPool pool() {
		return this.pool;
	}

	private record Dispatched(WaitingRequest request, BackendSlot slot) {

	}

}
