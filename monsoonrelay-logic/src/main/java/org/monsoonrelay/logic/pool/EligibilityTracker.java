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

	private static final long TIMEOUT_MILLIS = 400;

	/** Pause before a failed question is asked again, milliseconds. */
	private static final long RETRY_MILLIS = 100;

	private final EligibilitySource source;

	private final ScheduledExecutorService control;

	private final PoolClock clock;

	private final DecisionLog log;

	private final Consumer<StepKey> answered;

	private final CallHosts hosts;

	private final Map<StepKey, StepEligibility> entries = new HashMap<>();

	private final Map<StepKey, Wish> waiting = new LinkedHashMap<>();

	private int sent;

	EligibilityTracker(EligibilitySource source, ScheduledExecutorService control, PoolClock clock, DecisionLog log,
			Consumer<StepKey> answered) {
		this.source = source;
		this.control = control;
		this.clock = clock;
		this.log = log;
		this.answered = answered;
		this.hosts = new CallHosts(clock.nanos());
	}

	/**
	 * Name the hosts that can make calls.
	 * @param available the hosts
	 */
	void hosts(List<String> available) {
		this.hosts.update(available);
	}

	void hostRestarted(String host) {
		this.hosts.restarted(host);
	}

	/**
	 * Wish to ask about a step. Which workers to name is decided only when a host has
	 * time for the question: room comes and goes while it waits.
	 * @param step the step
	 * @param times what asking costs
	 * @param draft decides which workers to name, none if there is nothing to ask
	 * @param rank place of the step in the order of the queue, 0 first
	 */
	void ask(StepKey step, EligibilityTimes times, Supplier<QuestionDraft> draft, int rank) {
		StepEligibility known = this.entries.computeIfAbsent(step, (key) -> new StepEligibility(this.clock.nanos()));
		known.rank(rank);
		this.hosts.expect(times);
		if (known.mayAsk(this.clock.nanos())) {
			Wish first = this.waiting.get(step);
			this.waiting.put(step,
					(first != null) ? new Wish(step, times, draft, first.sinceNanos(), first.costMillis())
							: new Wish(step, times, draft, this.clock.nanos(), times.costMillis(1)));
		}
	}

	/**
	 * Whether a question about a step may be asked now. Its place in the queue is noted
	 * for the one that is open.
	 * @param step the step
	 * @param rank place of the step in the order of the queue, 0 first
	 * @return {@code true} if {@link #ask} would have an effect
	 */
	boolean mayAsk(StepKey step, int rank) {
		StepEligibility known = this.entries.get(step);
		if (known == null) {
			return true;
		}
		known.rank(rank);
		return known.mayAsk(this.clock.nanos());
	}

	/**
	 * Send the questions for which a host has time: kinds first that hardly take from the
	 * others, then in the order of the queue. In the order of their costs alone the
	 * dearest kind would never be asked about while others wait.
	 */
	void dispatch() {
		if (this.waiting.isEmpty()) {
			return;
		}
		long now = this.clock.nanos();
		Map<EligibilityTimes, Integer> precedence = new HashMap<>();
		this.waiting.values()
			.forEach((wish) -> precedence.computeIfAbsent(wish.times(), (kind) -> this.hosts.precedence(kind, now)));
		List<Wish> wishes = new ArrayList<>(this.waiting.values());
		wishes.sort(Comparator.comparing((Wish wish) -> precedence.get(wish.times()))
			.thenComparingInt((wish) -> rank(wish.step()))
			.thenComparingDouble(Wish::costMillis));
		Set<EligibilityTimes> without = new HashSet<>();
		for (Wish wish : wishes) {
			// A kind that found no host finds none for its next question either. Whom to
			// name is worked out for those alone that can be sent.
			boolean mayWait = wish.costMillis() <= CallHosts.SHORT_MILLIS;
			if (!mayWait && without.contains(wish.times())) {
				continue;
			}
			if (this.hosts.choose(wish.times(), wish.costMillis(), now).isPresent()) {
				dispatch(wish, now);
			}
			else {
				without.add(wish.times());
			}
		}
	}

	private void dispatch(Wish wish, long now) {
		QuestionDraft draft = wish.draft().get();
		this.waiting.remove(wish.step());
		if (draft.workers().isEmpty()) {
			return;
		}
		StepEligibility known = this.entries.get(wish.step());
		List<String> named = draft.workers().stream().limit(WorkersToAsk.MOST).toList();
		int firstAsked = (int) named.stream().filter((worker) -> !known.wasAsked(worker)).count();
		Question question = new Question(wish.step(), wish.times(), named, firstAsked, wish.sinceNanos());
		Optional<String> host = this.hosts.choose(question.times(), question.costMillis(), now);
		if (host.isEmpty()) {
			// It waits as one of its true cost from now on.
			this.waiting.put(wish.step(),
					new Wish(wish.step(), wish.times(), wish.draft(), wish.sinceNanos(), question.costMillis()));
			return;
		}
		known.opened();
		draft.whenSent().run();
		send(question, host.get());
	}

	private int rank(StepKey step) {
		StepEligibility known = this.entries.get(step);
		return (known != null) ? known.rank() : Integer.MAX_VALUE;
	}

	private void send(Question question, String host) {
		long sentNanos = this.clock.nanos();
		int rank = rank(question.step());
		this.sent++;
		this.hosts.begun(host, question.times(), question.costMillis(), sentNanos);
		Duration timeout = Duration.ofMillis((long) (TIMEOUT_FACTOR * this.hosts.outstanding(host) + TIMEOUT_MILLIS));
		this.source.ask(host, question.step(), question.workers(), timeout)
			.whenComplete(OnThread.of(this.control, (tickets, failure) -> {
				this.sent--;
				this.hosts.ended(host, question.costMillis());
				StepEligibility known = this.entries.get(question.step());
				long now = this.clock.nanos();
				if (failure != null) {
					this.hosts.failed(host, now);
				}
				else {
					this.hosts.succeeded(host);
				}
				if (known != null) {
					take(question, new Sent(host, rank, sentNanos), known, tickets, failure);
				}
				this.answered.accept(question.step());
			}));
	}

	private void take(Question question, Sent sent, StepEligibility known, Map<String, String> tickets,
			Throwable failure) {
		long now = this.clock.nanos();
		StepKey step = question.step();
		if (failure != null) {
			known.failed(now + TimeUnit.MILLISECONDS.toNanos(RETRY_MILLIS));
			this.log.write(new JobDecision.EligibilityFailed(step.job(), step.local(), sent.host(),
					String.valueOf(failure.getMessage())));
			return;
		}
		long valid = TimeUnit.MILLISECONDS.toNanos(question.times().validMillis() - TICKET_MARGIN_MILLIS);
		known.answered(question.workers(), tickets, now + valid);
		this.log.write(new JobDecision.EligibilityAnswered(step.job(), step.local(), sent.host(),
				question.workers().size(), tickets.size(), question.firstAsked(), sent.rank(),
				TimeUnit.NANOSECONDS.toMillis(sent.nanos() - question.askedNanos()),
				TimeUnit.NANOSECONDS.toMillis(now - sent.nanos())));
	}

	/**
	 * Forget the questions that have not been sent, as what they were based on has
	 * changed.
	 */
	void forgetWishes() {
		this.waiting.clear();
	}

	/**
	 * Forget the steps that nobody will ask for any more.
	 * @param isOver tells those steps
	 */
	void forget(Predicate<StepKey> isOver) {
		this.entries.keySet().removeIf(isOver);
		this.waiting.keySet().removeIf(isOver);
	}

	/**
	 * Whether a question about a step is on its way.
	 * @param step the step
	 * @return {@code true} until it is answered or has failed
	 */
	boolean isAsked(StepKey step) {
		return of(step).isOpen();
	}

	/**
	 * What is known of a step.
	 * @param step the step
	 * @return its eligible workers, none if nothing is known yet
	 */
	StepEligibility of(StepKey step) {
		return this.entries.getOrDefault(step, StepEligibility.UNKNOWN);
	}

	/**
	 * Note that a worker did not take a ticket, so that it is renewed before its next
	 * use.
	 * @param step the step
	 * @param worker the worker
	 */
	void refused(StepKey step, String worker) {
		StepEligibility known = this.entries.get(step);
		if (known != null) {
			known.refused(worker, this.clock.nanos());
		}
	}

	int sentCount() {
		return this.sent;
	}

	int queuedCount() {
		return this.waiting.size();
	}

	/** A question that nobody has been asked yet. */
	private record Wish(StepKey step, EligibilityTimes times, Supplier<QuestionDraft> draft, long sinceNanos,
			double costMillis) {

	}

	/** How a question went out. */
	private record Sent(String host, int rank, long nanos) {

	}

	private record Question(StepKey step, EligibilityTimes times, List<String> workers, int firstAsked,
			long askedNanos) {

		double costMillis() {
			return this.times.costMillis(this.workers.size());
		}

	}

}
