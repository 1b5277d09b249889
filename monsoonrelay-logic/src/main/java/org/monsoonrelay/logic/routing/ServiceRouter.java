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

	private final RetryBudget retryBudget;

	private final InstantSource clock;

	private final int maximumWaiting;

	private final Duration attemptTimeout;

	private final WaitTimeEstimator waitTimeEstimator = new WaitTimeEstimator();

	private final AtomicLong lastSequence = new AtomicLong();

	private final TreeSet<PendingRequest> waitingRequests = new TreeSet<>(PendingRequest.DISPATCH_ORDER);

	public ServiceRouter(BackendPool pool, BackendClient client, RetryBudget retries, InstantSource clock,
			int maximumWaiting, Duration attemptLimit) {
		this.pool = pool;
		this.client = client;
		this.retryBudget = retries;
		this.clock = clock;
		this.maximumWaiting = maximumWaiting;
		this.attemptTimeout = attemptLimit;
	}

	/**
	 * Route a request.
	 * @param request the request
	 * @return its outcome; never fails
	 */
	public CompletableFuture<RequestOutcome> route(ForwardedRequest request) {
		PendingRequest arrived = new PendingRequest(request, this.lastSequence.incrementAndGet());
		if (!this.clock.instant().isBefore(request.deadline())) {
			completeUnanswered(arrived, NotRunReason.DEADLINE);
		}
		else if (!this.pool.hasActiveServers()) {
			completeUnanswered(arrived, NotRunReason.NO_BACKEND_SERVER);
		}
		else if (wouldMissDeadline(arrived)) {
			completeUnanswered(arrived, NotRunReason.OVERLOAD);
		}
		else {
			enqueue(arrived);
			dispatchWaiting();
		}
		return arrived.outcome();
	}

	private synchronized boolean wouldMissDeadline(PendingRequest arrived) {
		if (this.waitingRequests.isEmpty()) {
			return false;
		}
		int ahead = this.waitingRequests.headSet(arrived).size();
		Duration wait = this.waitTimeEstimator.estimateWait(ahead, this.pool.inFlight());
		return !this.clock.instant().plus(wait).isBefore(arrived.request().deadline());
	}

	private synchronized void enqueue(PendingRequest arrived) {
		this.waitingRequests.add(arrived);
	}

	/**
	 * Refuse requests whose deadline has come while they waited, and give free slots to
	 * the others. To be called regularly.
	 */
	public void refuseExpired() {
		Instant now = this.clock.instant();
		List<PendingRequest> late = new ArrayList<>();
		synchronized (this) {
			this.waitingRequests.removeIf((entry) -> {
				boolean isLate = !now.isBefore(entry.request().deadline());
				if (isLate) {
					late.add(entry);
				}
				return isLate;
			});
		}
		late.forEach((entry) -> completeUnanswered(entry, NotRunReason.DEADLINE));
		dispatchWaiting();
	}

	private void dispatchWaiting() {
		Optional<Dispatch> next = nextDispatch();
		while (next.isPresent()) {
			startAttempt(next.get().request(), next.get().slot());
			next = nextDispatch();
		}
		pollSurplus().ifPresent((shed) -> completeUnanswered(shed, NotRunReason.OVERLOAD));
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

	private void startAttempt(PendingRequest waitingRequest, BackendSlot slot) {
		if (waitingRequest.markAttempted()) {
			this.retryBudget.recordRequest();
		}
		Instant begun = this.clock.instant();
		send(waitingRequest.request(), slot.address(), begun).whenComplete((result, failure) -> {
			AttemptResult ended = (result != null) ? result
					: new AttemptResult.Incomplete(false, String.valueOf(failure.getMessage()));
			this.pool.release(slot, ended);
			if (ended instanceof AttemptResult.Answered) {
				this.waitTimeEstimator.recordResponseTime(Duration.between(begun, this.clock.instant()));
			}
			waitingRequest.triedServers().add(slot.address());
			handleResult(waitingRequest, ended);
			dispatchWaiting();
		});
	}

	private CompletableFuture<AttemptResult> send(ForwardedRequest request, HostAddress server, Instant begun) {
		Instant limit = begun.plus(this.attemptTimeout);
		boolean canRepeat = request.operation().repeatable() && limit.isBefore(request.deadline());
		try {
			return this.client.send(server, request, canRepeat ? limit : request.deadline());
		}
		catch (RuntimeException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private void handleResult(PendingRequest ended, AttemptResult result) {
		if (result instanceof AttemptResult.Answered whole) {
			ended.outcome().complete(new RequestOutcome.Answered(whole.status(), whole.headers(), whole.body()));
			return;
		}
		boolean silent = result instanceof AttemptResult.StaleConnection;
		if (silent || result instanceof AttemptResult.Incomplete) {
			ended.markMayHaveRun();
		}
		boolean mayGoOn = !ended.mayHaveRun() || ended.request().operation().repeatable();
		boolean inTime = this.clock.instant().isBefore(ended.request().deadline());
		boolean refusedByServer = result instanceof AttemptResult.Refused;
		if (mayGoOn && inTime && (refusedByServer || silent || this.retryBudget.tryAcquire())) {
			if (refusedByServer) {
				ended.triedServers().clear();
			}
			enqueue(ended);
			return;
		}
		completeUnanswered(ended, inTime ? NotRunReason.NO_BACKEND_SERVER : NotRunReason.DEADLINE);
	}

	private void completeUnanswered(PendingRequest refused, NotRunReason reason) {
		if (refused.mayHaveRun()) {
			refused.outcome().complete(new RequestOutcome.Unknown("an attempt was sent and brought no whole answer"));
			return;
		}
		refused.outcome().complete(new RequestOutcome.NotRun(reason, retryAfter()));
	}

	private Duration retryAfter() {
		// The time until a slot is free for a request that comes last.
		Duration wait = this.waitTimeEstimator.estimateWait(waitingCount(), this.pool.inFlight());
		if (wait.compareTo(MINIMUM_RETRY_AFTER) < 0) {
			return MINIMUM_RETRY_AFTER;
		}
		return (wait.compareTo(MAXIMUM_RETRY_AFTER) > 0) ? MAXIMUM_RETRY_AFTER : wait;
	}

	/**
	 * Number of requests that wait for a slot.
	 * @return the count
	 */
	public synchronized int waitingCount() {
		return this.waitingRequests.size();
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

	private record Dispatch(PendingRequest request, BackendSlot slot) {

	}

}
