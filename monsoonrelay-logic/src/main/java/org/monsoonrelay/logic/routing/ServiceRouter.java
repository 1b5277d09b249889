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
 * Routes the requests of one service to backend servers. A request that finds no free
 * slot is queued by traffic class and deadline; a request that is not expected to meet
 * its deadline is refused at once. Invariants: a request that is not repeatable is sent
 * again only if it cannot have run before; a request is reported as not run only if no
 * byte of it reached a backend server or the server refused it before starting it; each
 * acquired slot is released once. Thread-safe.
 */
public final class ServiceRouter {

	private static final Duration MINIMUM_RETRY_AFTER = Duration.ofSeconds(1);

	private static final Duration MAXIMUM_RETRY_AFTER = Duration.ofSeconds(60);

	private final BackendPool pool;

	private final BackendClient client;

	private final RetryBudget retryBudget;

	private final InstantSource clock;

	private final int maximumWaiting;

	private final Duration attemptTimeout;

	private final WaitTimeEstimator waitTimeEstimator = new WaitTimeEstimator();

	private final AtomicLong lastSequence = new AtomicLong();

	private final TreeSet<PendingRequest> waitingRequests = new TreeSet<>(PendingRequest.DISPATCH_ORDER);

	public ServiceRouter(BackendPool pool, BackendClient client, RetryBudget retryBudget, InstantSource clock,
			int maximumWaiting, Duration attemptTimeout) {
		this.pool = pool;
		this.client = client;
		this.retryBudget = retryBudget;
		this.clock = clock;
		this.maximumWaiting = maximumWaiting;
		this.attemptTimeout = attemptTimeout;
	}

	/**
	 * Route a request.
	 * @param request the request
	 * @return the outcome; never completes exceptionally
	 */
	public CompletableFuture<RequestOutcome> route(ForwardedRequest request) {
		PendingRequest pending = new PendingRequest(request, this.lastSequence.incrementAndGet());
		if (!this.clock.instant().isBefore(request.deadline())) {
			completeUnanswered(pending, NotRunReason.DEADLINE);
		}
		else if (!this.pool.hasActiveServers()) {
			completeUnanswered(pending, NotRunReason.NO_BACKEND_SERVER);
		}
		else if (wouldMissDeadline(pending)) {
			completeUnanswered(pending, NotRunReason.OVERLOAD);
		}
		else {
			enqueue(pending);
			dispatchWaiting();
		}
		return pending.outcome();
	}

	private synchronized boolean wouldMissDeadline(PendingRequest pending) {
		if (this.waitingRequests.isEmpty()) {
			return false;
		}
		int ahead = this.waitingRequests.headSet(pending).size();
		Duration wait = this.waitTimeEstimator.estimateWait(ahead, this.pool.inFlight());
		return !this.clock.instant().plus(wait).isBefore(pending.request().deadline());
	}

	private synchronized void enqueue(PendingRequest pending) {
		this.waitingRequests.add(pending);
	}

	/**
	 * Refuse waiting requests whose deadline has passed, and dispatch other waiting
	 * requests to free slots. Must be called periodically.
	 */
	public void refuseExpired() {
		Instant now = this.clock.instant();
		List<PendingRequest> expired = new ArrayList<>();
		synchronized (this) {
			this.waitingRequests.removeIf((pending) -> {
				boolean isExpired = !now.isBefore(pending.request().deadline());
				if (isExpired) {
					expired.add(pending);
				}
				return isExpired;
			});
		}
		expired.forEach((pending) -> completeUnanswered(pending, NotRunReason.DEADLINE));
		dispatchWaiting();
	}

	private void dispatchWaiting() {
		Optional<Dispatch> next = nextDispatch();
		while (next.isPresent()) {
			startAttempt(next.get().request(), next.get().slot());
			next = nextDispatch();
		}
		pollSurplus().ifPresent((surplus) -> completeUnanswered(surplus, NotRunReason.OVERLOAD));
	}

	private synchronized Optional<PendingRequest> pollSurplus() {
		return (this.waitingRequests.size() > this.maximumWaiting) ? Optional.of(this.waitingRequests.pollLast())
				: Optional.empty();
	}

	private synchronized Optional<Dispatch> nextDispatch() {
		for (PendingRequest candidate : this.waitingRequests) {
			Optional<BackendSlot> slot = this.pool.acquire(candidate.triedServers());
			if (slot.isEmpty() && !this.pool.hasUntriedServer(candidate.triedServers())) {
				candidate.triedServers().clear();
				slot = this.pool.acquire(candidate.triedServers());
			}
			if (slot.isPresent()) {
				this.waitingRequests.remove(candidate);
				return Optional.of(new Dispatch(candidate, slot.get()));
			}
			if (candidate.triedServers().isEmpty()) {
				return Optional.empty();
			}
		}
		return Optional.empty();
	}

	private void startAttempt(PendingRequest pending, BackendSlot slot) {
		if (pending.markAttempted()) {
			this.retryBudget.recordRequest();
		}
		Instant startedAt = this.clock.instant();
		send(pending.request(), slot.address(), startedAt).whenComplete((result, failure) -> {
			AttemptResult attemptResult = (result != null) ? result
					: new AttemptResult.Incomplete(false, String.valueOf(failure.getMessage()));
			this.pool.release(slot, attemptResult);
			if (attemptResult instanceof AttemptResult.Answered) {
				this.waitTimeEstimator.recordResponseTime(Duration.between(startedAt, this.clock.instant()));
			}
			pending.triedServers().add(slot.address());
			handleResult(pending, attemptResult);
			dispatchWaiting();
		});
	}

	private CompletableFuture<AttemptResult> send(ForwardedRequest request, HostAddress server, Instant startedAt) {
		Instant attemptDeadline = startedAt.plus(this.attemptTimeout);
		boolean canRetry = request.operation().repeatable() && attemptDeadline.isBefore(request.deadline());
		try {
			return this.client.send(server, request, canRetry ? attemptDeadline : request.deadline());
		}
		catch (RuntimeException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private void handleResult(PendingRequest pending, AttemptResult result) {
		if (result instanceof AttemptResult.Answered answered) {
			pending.outcome()
				.complete(new RequestOutcome.Answered(answered.status(), answered.headers(), answered.body()));
			return;
		}
		boolean staleConnection = result instanceof AttemptResult.StaleConnection;
		if (staleConnection || result instanceof AttemptResult.Incomplete) {
			pending.markMayHaveRun();
		}
		boolean canRetry = !pending.mayHaveRun() || pending.request().operation().repeatable();
		boolean beforeDeadline = this.clock.instant().isBefore(pending.request().deadline());
		boolean refusedByServer = result instanceof AttemptResult.Refused;
		if (canRetry && beforeDeadline && (refusedByServer || staleConnection || this.retryBudget.tryAcquire())) {
			if (refusedByServer) {
				pending.triedServers().clear();
			}
			enqueue(pending);
			return;
		}
		completeUnanswered(pending, beforeDeadline ? NotRunReason.NO_BACKEND_SERVER : NotRunReason.DEADLINE);
	}

	private void completeUnanswered(PendingRequest pending, NotRunReason reason) {
		if (pending.mayHaveRun()) {
			pending.outcome().complete(new RequestOutcome.Unknown("an attempt was sent and brought no whole answer"));
			return;
		}
		pending.outcome().complete(new RequestOutcome.NotRun(reason, retryAfter()));
	}

	private Duration retryAfter() {
		// Expected time until a slot is free for a request at the end of the queue.
		Duration wait = this.waitTimeEstimator.estimateWait(waitingCount(), this.pool.inFlight());
		if (wait.compareTo(MINIMUM_RETRY_AFTER) < 0) {
			return MINIMUM_RETRY_AFTER;
		}
		return (wait.compareTo(MAXIMUM_RETRY_AFTER) > 0) ? MAXIMUM_RETRY_AFTER : wait;
	}

	/**
	 * Return the number of requests that are waiting for a slot.
	 * @return the number of requests
	 */
	public synchronized int waitingCount() {
		return this.waitingRequests.size();
	}

	/**
	 * Return the number of requests that have been sent and not completed.
	 * @return the number of requests
	 */
	public int inFlight() {
		return this.pool.inFlight();
	}

	/**
	 * Return the backend servers of the service.
	 * @return the pool
	 */
	public BackendPool pool() {
		return this.pool;
	}

	private record Dispatch(PendingRequest request, BackendSlot slot) {

	}

}
