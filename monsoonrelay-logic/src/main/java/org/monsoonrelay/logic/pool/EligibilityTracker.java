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
import org.monsoonrelay.logic.platform.OnThread;
import org.monsoonrelay.model.submission.EligibilityTimes;
import org.monsoonrelay.model.submission.StepKey;

/**
 * Finds out which workers may run a step, ahead of placing it. Which ones are allowed
 * does not change and is kept; tickets lapse and are renewed for the workers chosen. One
 * question a step is open at a time. Not thread-safe: confined to the control thread.
 */
final class EligibilityTracker {

	/**
	 * A ticket is used no longer than this before it lapses, milliseconds: it was issued
	 * up to a network way before it arrived, and the start takes another.
	 */
	private static final long TICKET_MARGIN_MILLIS = 150;

	/** A call may take this many times what it should, and a while more, milliseconds. */
	private static final double TIMEOUT_FACTOR = 1.5;

	private static final long TIMEOUT_MARGIN_MILLIS = 400;

	/** Pause before a failed question is asked again, milliseconds. */
	private static final long RETRY_DELAY_MILLIS = 100;

	private final EligibilityClient client;

	private final ScheduledExecutorService control;

	private final PoolClock clock;

	private final DecisionLog log;

	private final Consumer<StepKey> onCompletion;

	private final EligibilityHostSelector hostSelector;

	private final Map<StepKey, StepEligibility> eligibilityBySteps = new HashMap<>();

	private final Map<StepKey, QueuedRequest> queuedRequests = new LinkedHashMap<>();

	private int inFlight;

	EligibilityTracker(EligibilityClient source, ScheduledExecutorService control, PoolClock clock, DecisionLog log,
			Consumer<StepKey> answered) {
		this.client = source;
		this.control = control;
		this.clock = clock;
		this.log = log;
		this.onCompletion = answered;
		this.hostSelector = new EligibilityHostSelector(clock.nanos());
	}

	/**
	 * Name the hosts that can make calls.
	 * @param available the hosts
	 */
	void updateHosts(List<String> available) {
		this.hostSelector.updateHosts(available);
	}

	void hostRestarted(String host) {
		this.hostSelector.hostRestarted(host);
	}

	/**
	 * Wish to ask about a step. Which workers to name is decided only when a host has
	 * time for the question: room comes and goes while it waits.
	 * @param step the step
	 * @param times what asking costs
	 * @param draft decides which workers to name, none if there is nothing to ask
	 * @param rank place of the step in the order of the queue, 0 first
	 */
	void request(StepKey step, EligibilityTimes times, Supplier<EligibilityRequestDraft> draft, int rank) {
		StepEligibility known = this.eligibilityBySteps.computeIfAbsent(step,
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
	 * Whether a question about a step may be asked now. Its place in the queue is noted
	 * for the one that is open.
	 * @param step the step
	 * @param rank place of the step in the order of the queue, 0 first
	 * @return {@code true} if {@link #ask} would have an effect
	 */
	boolean mayRequest(StepKey step, int rank) {
		StepEligibility known = this.eligibilityBySteps.get(step);
		if (known == null) {
			return true;
		}
		known.setRank(rank);
		return known.mayRequest(this.clock.nanos());
	}

	/**
	 * Send the questions for which a host has time: kinds first that hardly take from the
	 * others, then in the order of the queue. In the order of their costs alone the
	 * dearest kind would never be asked about while others wait.
	 */
	void sendRequests() {
		if (this.queuedRequests.isEmpty()) {
			return;
		}
		long now = this.clock.nanos();
		Map<EligibilityTimes, Integer> precedence = new HashMap<>();
		this.queuedRequests.values()
			.forEach((wish) -> precedence.computeIfAbsent(wish.times(),
					(kind) -> this.hostSelector.precedence(kind, now)));
		List<QueuedRequest> wishes = new ArrayList<>(this.queuedRequests.values());
		wishes.sort(Comparator.comparing((QueuedRequest wish) -> precedence.get(wish.times()))
			.thenComparingInt((wish) -> rank(wish.step()))
			.thenComparingDouble(QueuedRequest::costMillis));
		Set<EligibilityTimes> without = new HashSet<>();
		for (QueuedRequest wish : wishes) {
			// A kind that found no host finds none for its next question either. Whom to
			// name is worked out for those alone that can be sent.
			boolean mayWait = wish.costMillis() <= EligibilityHostSelector.SHORT_CALL_MILLIS;
			if (!mayWait && without.contains(wish.times())) {
				continue;
			}
			if (this.hostSelector.select(wish.times(), wish.costMillis(), now).isPresent()) {
				prepareAndSend(wish, now);
			}
			else {
				without.add(wish.times());
			}
		}
	}

	private void prepareAndSend(QueuedRequest wish, long now) {
		EligibilityRequestDraft draft = wish.draft().get();
		this.queuedRequests.remove(wish.step());
		if (draft.workers().isEmpty()) {
			return;
		}
		StepEligibility known = this.eligibilityBySteps.get(wish.step());
		List<String> named = draft.workers().stream().limit(EligibilityCandidates.MAX_REQUEST_SIZE).toList();
		int firstAsked = (int) named.stream().filter((worker) -> !known.wasQueried(worker)).count();
		PreparedRequest question = new PreparedRequest(wish.step(), wish.times(), named, firstAsked,
				wish.queuedNanos());
		Optional<String> host = this.hostSelector.select(question.times(), question.costMillis(), now);
		if (host.isEmpty()) {
			// It waits as one of its true cost from now on.
			this.queuedRequests.put(wish.step(), new QueuedRequest(wish.step(), wish.times(), wish.draft(),
					wish.queuedNanos(), question.costMillis()));
			return;
		}
		known.recordRequest();
		draft.onSent().run();
		send(question, host.get());
	}

	private int rank(StepKey step) {
		StepEligibility known = this.eligibilityBySteps.get(step);
		return (known != null) ? known.rank() : Integer.MAX_VALUE;
	}

	private void send(PreparedRequest question, String host) {
		long sentNanos = this.clock.nanos();
		int rank = rank(question.step());
		this.inFlight++;
		this.hostSelector.callStarted(host, question.times(), question.costMillis(), sentNanos);
		Duration timeout = Duration
			.ofMillis((long) (TIMEOUT_FACTOR * this.hostSelector.outstandingMillis(host) + TIMEOUT_MARGIN_MILLIS));
		this.client.requestTickets(host, question.step(), question.workers(), timeout)
			.whenComplete(OnThread.of(this.control, (tickets, failure) -> {
				this.inFlight--;
				this.hostSelector.callEnded(host, question.costMillis());
				StepEligibility known = this.eligibilityBySteps.get(question.step());
				long now = this.clock.nanos();
				if (failure != null) {
					this.hostSelector.callFailed(host, now);
				}
				else {
					this.hostSelector.callSucceeded(host);
				}
				if (known != null) {
					recordResult(question, new SentRequest(host, rank, sentNanos), known, tickets, failure);
				}
				this.onCompletion.accept(question.step());
			}));
	}

	private void recordResult(PreparedRequest question, SentRequest sent, StepEligibility known,
			Map<String, String> tickets, Throwable failure) {
		long now = this.clock.nanos();
		StepKey step = question.step();
		if (failure != null) {
			known.recordFailure(now + TimeUnit.MILLISECONDS.toNanos(RETRY_DELAY_MILLIS));
			this.log.write(new JobDecision.EligibilityFailed(step.job(), step.local(), sent.host(),
					String.valueOf(failure.getMessage())));
			return;
		}
		long valid = TimeUnit.MILLISECONDS.toNanos(question.times().validMillis() - TICKET_MARGIN_MILLIS);
		known.recordReply(question.workers(), tickets, now + valid);
		this.log.write(new JobDecision.EligibilityAnswered(step.job(), step.local(), sent.host(),
				question.workers().size(), tickets.size(), question.newlyQueried(), sent.rank(),
				TimeUnit.NANOSECONDS.toMillis(sent.sentNanos() - question.queuedNanos()),
				TimeUnit.NANOSECONDS.toMillis(now - sent.sentNanos())));
	}

	/**
	 * Forget the questions that have not been sent, as what they were based on has
	 * changed.
	 */
	void discardQueuedRequests() {
		this.queuedRequests.clear();
	}

	/**
	 * Forget the steps that nobody will ask for any more.
	 * @param isOver tells those steps
	 */
	void removeIf(Predicate<StepKey> isOver) {
		this.eligibilityBySteps.keySet().removeIf(isOver);
		this.queuedRequests.keySet().removeIf(isOver);
	}

	/**
	 * Whether a question about a step is on its way.
	 * @param step the step
	 * @return {@code true} until it is answered or has failed
	 */
	boolean isRequestPending(StepKey step) {
		return eligibilityOf(step).isRequestPending();
	}

	/**
	 * What is known of a step.
	 * @param step the step
	 * @return its eligible workers, none if nothing is known yet
	 */
	StepEligibility eligibilityOf(StepKey step) {
		return this.eligibilityBySteps.getOrDefault(step, StepEligibility.UNKNOWN);
	}

	/**
	 * Note that a worker did not take a ticket, so that it is renewed before its next
	 * use.
	 * @param step the step
	 * @param worker the worker
	 */
	void ticketRefused(StepKey step, String worker) {
		StepEligibility known = this.eligibilityBySteps.get(step);
		if (known != null) {
			known.expireTicket(worker, this.clock.nanos());
		}
	}

	int inFlightCount() {
		return this.inFlight;
	}

	int queuedCount() {
		return this.queuedRequests.size();
	}

	/** A question that nobody has been asked yet. */
	private record QueuedRequest(StepKey step, EligibilityTimes times, Supplier<EligibilityRequestDraft> draft,
			long queuedNanos, double costMillis) {

	}

	/** How a question went out. */
	private record SentRequest(String host, int rank, long sentNanos) {

	}

	private record PreparedRequest(StepKey step, EligibilityTimes times, List<String> workers, int newlyQueried,
			long queuedNanos) {

		double costMillis() {
			return this.times.costMillis(this.workers.size());
		}

	}

}
