package org.monsoonrelay.logic.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.platform.ExecutorCallback;
import org.monsoonrelay.model.submission.EligibilityTimes;
import org.monsoonrelay.model.submission.StepKey;

/**
 * Determines which workers may run a step before the step is placed. Whether a worker is
 * eligible does not change and is kept; tickets expire and are renewed for the selected
 * workers. At most one request per step is pending at a time. Not thread-safe: confined
 * to the control thread.
 */
final class EligibilityTracker {

	/**
	 * A ticket is not used within this time before it expires, in milliseconds: it was
	 * issued up to one network delay before it arrived, and the start takes another.
	 */
	private static final long TICKET_MARGIN_MILLIS = 150;

	/** Timeout of a call as a multiple of its expected duration, before the margin. */
	private static final double TIMEOUT_FACTOR = 1.5;

	/** Added to the timeout of every call, in milliseconds. */
	private static final long TIMEOUT_MARGIN_MILLIS = 400;

	/** Delay before a failed request is repeated, in milliseconds. */
	private static final long RETRY_DELAY_MILLIS = 100;

	private final EligibilityClient client;

	private final ScheduledExecutorService control;

	private final PoolClock clock;

	private final DecisionLog log;

	private final Consumer<StepKey> onCompletion;

	private final EligibilityHostSelector hostSelector;

	private final Map<StepKey, StepEligibility> eligibilityByStep = new HashMap<>();

	private final Map<StepKey, QueuedRequest> queuedRequests = new LinkedHashMap<>();

	private int inFlight;

	EligibilityTracker(EligibilityClient client, ScheduledExecutorService control, PoolClock clock, DecisionLog log,
			Consumer<StepKey> onCompletion) {
		this.client = client;
		this.control = control;
		this.clock = clock;
		this.log = log;
		this.onCompletion = onCompletion;
		this.hostSelector = new EligibilityHostSelector(clock.nanos());
	}

	/**
	 * Returns how long a ticket is used from its arrival on.
	 * @param times the costs of the call
	 * @return milliseconds
	 */
	static long usableMillis(EligibilityTimes times) {
		return times.validMillis() - TICKET_MARGIN_MILLIS;
	}

	/**
	 * Replaces the hosts that can make calls.
	 * @param available the hosts
	 */
	void updateHosts(List<String> available) {
		this.hostSelector.updateHosts(available);
	}

	void hostRestarted(String host) {
		this.hostSelector.hostRestarted(host);
	}

	/**
	 * Queues an eligibility request for a step. The workers to query are selected only
	 * when a host is available for the call, because free capacity changes while the
	 * request is queued.
	 * @param step the step
	 * @param times the costs of the call
	 * @param draft selects the workers to query, none if no request is needed
	 * @param rank position of the step in the queue, 0 is first
	 */
	void request(StepKey step, EligibilityTimes times, Supplier<EligibilityRequestDraft> draft, int rank) {
		StepEligibility known = this.eligibilityByStep.computeIfAbsent(step,
				(key) -> new StepEligibility(this.clock.nanos()));
		known.setRank(rank);
		this.hostSelector.addKind(times);
		if (known.mayRequest(this.clock.nanos())) {
			QueuedRequest first = this.queuedRequests.get(step);
			this.queuedRequests.put(step,
					(first != null) ? new QueuedRequest(step, times, draft, first.queuedNanos(), first.costMillis())
							: new QueuedRequest(step, times, draft, this.clock.nanos(), times.costMillis(1)));
		}
	}

	/**
	 * Whether a request for a step may be queued now. Also updates the step's position in
	 * the queue.
	 * @param step the step
	 * @param rank position of the step in the queue, 0 is first
	 * @return {@code true} if {@link #request} would have an effect
	 */
	boolean mayRequest(StepKey step, int rank) {
		StepEligibility known = this.eligibilityByStep.get(step);
		if (known == null) {
			return true;
		}
		known.setRank(rank);
		return known.mayRequest(this.clock.nanos());
	}

	/**
	 * Sends the queued requests for which a host is available: first the kinds of calls
	 * that need few hosts, then in queue order. Ordering by cost alone would starve the
	 * most expensive kind.
	 */
	void sendRequests() {
		if (this.queuedRequests.isEmpty()) {
			return;
		}
		long now = this.clock.nanos();
		Map<EligibilityTimes, Integer> precedence = new HashMap<>();
		this.queuedRequests.values()
			.forEach((queued) -> precedence.computeIfAbsent(queued.times(),
					(kind) -> this.hostSelector.precedence(kind, now)));
		List<QueuedRequest> ordered = new ArrayList<>(this.queuedRequests.values());
		ordered.sort(Comparator.comparing((QueuedRequest queued) -> precedence.get(queued.times()))
			.thenComparingInt((queued) -> rank(queued.step()))
			.thenComparingDouble(QueuedRequest::costMillis));
		Set<EligibilityTimes> kindsWithoutHost = new HashSet<>();
		for (QueuedRequest queued : ordered) {
			// If no host was available for a kind of call, none is for its next request.
			// Workers are selected only for requests that can be sent.
			boolean mayShareHost = queued.costMillis() <= EligibilityHostSelector.SHORT_CALL_MILLIS;
			if (!mayShareHost && kindsWithoutHost.contains(queued.times())) {
				continue;
			}
			if (this.hostSelector.select(queued.times(), queued.costMillis(), now).isPresent()) {
				prepareAndSend(queued, now);
			}
			else {
				kindsWithoutHost.add(queued.times());
			}
		}
	}

	private void prepareAndSend(QueuedRequest queued, long now) {
		EligibilityRequestDraft draft = queued.draft().get();
		this.queuedRequests.remove(queued.step());
		if (draft.workers().isEmpty()) {
			return;
		}
		StepEligibility known = this.eligibilityByStep.get(queued.step());
		List<String> workers = draft.workers().stream().limit(EligibilityCandidates.MAX_REQUEST_SIZE).toList();
		int newlyQueried = (int) workers.stream().filter((worker) -> !known.wasQueried(worker)).count();
		PreparedRequest request = new PreparedRequest(queued.step(), queued.times(), workers, newlyQueried,
				queued.queuedNanos());
		Optional<String> host = this.hostSelector.select(request.times(), request.costMillis(), now);
		if (host.isEmpty()) {
			// Queue the request again with its actual cost, which is known only now.
			this.queuedRequests.put(queued.step(), new QueuedRequest(queued.step(), queued.times(), queued.draft(),
					queued.queuedNanos(), request.costMillis()));
			return;
		}
		known.recordRequest();
		draft.onSent().run();
		send(request, host.get());
	}

	private int rank(StepKey step) {
		StepEligibility known = this.eligibilityByStep.get(step);
		return (known != null) ? known.rank() : Integer.MAX_VALUE;
	}

	private void send(PreparedRequest request, String host) {
		long sentNanos = this.clock.nanos();
		int rank = rank(request.step());
		this.inFlight++;
		this.hostSelector.callStarted(host, request.times(), request.costMillis(), sentNanos);
		Duration timeout = Duration
			.ofMillis((long) (TIMEOUT_FACTOR * this.hostSelector.outstandingMillis(host) + TIMEOUT_MARGIN_MILLIS));
		this.client.requestTickets(host, request.step(), request.workers(), timeout)
			.whenComplete(ExecutorCallback.on(this.control, (tickets, failure) -> {
				this.inFlight--;
				this.hostSelector.callEnded(host, request.costMillis());
				StepEligibility known = this.eligibilityByStep.get(request.step());
				long now = this.clock.nanos();
				if (failure != null) {
					this.hostSelector.callFailed(host, now);
				}
				else {
					this.hostSelector.callSucceeded(host);
				}
				if (known != null) {
					recordResult(request, new SentRequest(host, rank, sentNanos), known, tickets, failure);
				}
				this.onCompletion.accept(request.step());
			}));
	}

	private void recordResult(PreparedRequest request, SentRequest sent, StepEligibility known,
			Map<String, String> tickets, Throwable failure) {
		long now = this.clock.nanos();
		StepKey step = request.step();
		if (failure != null) {
			known.recordFailure(now + TimeUnit.MILLISECONDS.toNanos(RETRY_DELAY_MILLIS));
			this.log.write(new JobDecision.EligibilityFailed(step.job(), step.localName(), sent.host(),
					String.valueOf(failure.getMessage())));
			return;
		}
		known.recordReply(request.workers(), tickets,
				now + TimeUnit.MILLISECONDS.toNanos(usableMillis(request.times())));
		this.log.write(new JobDecision.EligibilityAnswered(step.job(), step.localName(), sent.host(),
				request.workers().size(), tickets.size(), request.newlyQueried(), sent.rank(),
				TimeUnit.NANOSECONDS.toMillis(sent.sentNanos() - request.queuedNanos()),
				TimeUnit.NANOSECONDS.toMillis(now - sent.sentNanos())));
	}

	/**
	 * Discards the requests that have not been sent, because the configuration that they
	 * were based on has changed.
	 */
	void discardQueuedRequests() {
		this.queuedRequests.clear();
	}

	/**
	 * Discards the requests of steps that have not been sent, because others are placed
	 * before these steps.
	 * @param steps the steps
	 */
	void discardQueuedRequests(Set<StepKey> steps) {
		steps.forEach(this.queuedRequests::remove);
	}

	/**
	 * Removes steps whose eligibility is not needed any more.
	 * @param isOver matches those steps
	 */
	void removeIf(Predicate<StepKey> isOver) {
		this.eligibilityByStep.keySet().removeIf(isOver);
		this.queuedRequests.keySet().removeIf(isOver);
	}

	/**
	 * Whether a request for a step is pending.
	 * @param step the step
	 * @return {@code true} from its sending until it is answered or has failed
	 */
	boolean isRequestPending(StepKey step) {
		return eligibilityOf(step).isRequestPending();
	}

	/**
	 * The known eligibility of workers for a step.
	 * @param step the step
	 * @return the eligibility, {@link StepEligibility#UNKNOWN} before the first request
	 */
	StepEligibility eligibilityOf(StepKey step) {
		return this.eligibilityByStep.getOrDefault(step, StepEligibility.UNKNOWN);
	}

	/**
	 * Records that a worker rejected a ticket, so that it is renewed before its next use.
	 * @param step the step
	 * @param worker the worker
	 */
	void ticketRefused(StepKey step, String worker) {
		StepEligibility known = this.eligibilityByStep.get(step);
		if (known != null) {
			known.expireTicket(worker, this.clock.nanos());
		}
	}

	/**
	 * Forgets the eligibility of a worker that has restarted: its tickets are not valid
	 * any more, and its labels may have changed.
	 * @param worker the worker's id
	 */
	void workerRestarted(String worker) {
		this.eligibilityByStep.values().forEach((known) -> known.forget(worker));
	}

	int inFlightCount() {
		return this.inFlight;
	}

	int queuedCount() {
		return this.queuedRequests.size();
	}

	/** A request for which no host has been available yet. */
	private record QueuedRequest(StepKey step, EligibilityTimes times, Supplier<EligibilityRequestDraft> draft,
			long queuedNanos, double costMillis) {

	}

	/** Host, queue position and time with which a request was sent. */
	private record SentRequest(String host, int rank, long sentNanos) {

	}

	private record PreparedRequest(StepKey step, EligibilityTimes times, List<String> workers, int newlyQueried,
			long queuedNanos) {

		double costMillis() {
			return this.times.costMillis(this.workers.size());
		}

	}

}
