package org.monsoonrelay.logic.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.platform.OnThread;
import org.monsoonrelay.model.submission.EligibilityTimes;
import org.monsoonrelay.model.submission.StepKey;

/**
 * Finds out which workers may run a step, ahead of placing it. Which ones are allowed
 * does not change and is kept; tickets lapse and are renewed for the workers chosen. One
 * question a step is open at a time. Not thread-safe: confined to the control thread.
 */
final class EligibilityTracker {

	/** Most workers in a question. */
	private static final int MOST_WORKERS = 100;

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

	private final Runnable answered;

	private final CallHosts hosts = new CallHosts();

	private final Map<StepKey, Entry> entries = new HashMap<>();

	private final List<Question> waiting = new ArrayList<>();

	EligibilityTracker(EligibilitySource source, ScheduledExecutorService control, PoolClock clock, DecisionLog log,
			Runnable answered) {
		this.source = source;
		this.control = control;
		this.clock = clock;
		this.log = log;
		this.answered = answered;
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
	 * Ask about workers unless a question for the step is open, which then keeps its
	 * workers.
	 * @param step the step
	 * @param times what asking costs
	 * @param workers the workers
	 * @param rank place of the step in the order of the queue, 0 first
	 */
	void ask(StepKey step, EligibilityTimes times, List<String> workers, int rank) {
		Entry entry = this.entries.computeIfAbsent(step, (key) -> new Entry(this.clock.nanos()));
		entry.rank = rank;
		if (entry.open || workers.isEmpty() || this.clock.nanos() - entry.notBeforeNanos < 0) {
			return;
		}
		entry.open = true;
		this.waiting.add(new Question(step, times, workers.stream().limit(MOST_WORKERS).toList()));
	}

	/**
	 * Send the questions for which a host has time: short ones first, which hardly take
	 * from the others, and long ones in the order of the queue. In the order of their
	 * costs the dearest kind was never asked about while others waited: long-running
	 * tasks stood still for 27 s behind a loss of power (read off the lines of a played
	 * day).
	 */
	void dispatch() {
		if (this.waiting.isEmpty()) {
			return;
		}
		this.waiting.sort(Comparator.comparing((Question question) -> question.costMillis() > CallHosts.LONG_MILLIS)
			.thenComparingInt(this::rank)
			.thenComparingDouble(Question::costMillis));
		long now = this.clock.nanos();
		List<Question> sent = new ArrayList<>();
		for (Question question : this.waiting) {
			Optional<String> host = this.hosts.choose(question.costMillis(), now);
			if (host.isPresent()) {
				sent.add(question);
				send(question, host.get());
			}
		}
		this.waiting.removeAll(sent);
	}

	private int rank(Question question) {
		Entry entry = this.entries.get(question.step());
		return (entry != null) ? entry.rank : Integer.MAX_VALUE;
	}

	private void send(Question question, String host) {
		long sentNanos = this.clock.nanos();
		this.hosts.begun(host, question.costMillis());
		Duration timeout = Duration.ofMillis((long) (TIMEOUT_FACTOR * this.hosts.outstanding(host) + TIMEOUT_MILLIS));
		this.source.ask(host, question.step(), question.workers(), timeout)
			.whenComplete(OnThread.of(this.control, (tickets, failure) -> {
				this.hosts.ended(host, question.costMillis());
				Entry entry = this.entries.get(question.step());
				long now = this.clock.nanos();
				if (failure != null) {
					this.hosts.failed(host, now);
				}
				else {
					this.hosts.succeeded(host);
				}
				if (entry != null) {
					take(question, host, entry, tickets, failure, sentNanos);
				}
				this.answered.run();
			}));
	}

	private void take(Question question, String host, Entry entry, Map<String, String> tickets, Throwable failure,
			long sentNanos) {
		long now = this.clock.nanos();
		entry.open = false;
		StepKey step = question.step();
		if (failure != null) {
			entry.notBeforeNanos = now + TimeUnit.MILLISECONDS.toNanos(RETRY_MILLIS);
			this.log.write(new Decision.EligibilityFailed(step.job(), step.local(), host,
					String.valueOf(failure.getMessage())));
			return;
		}
		long expires = now + TimeUnit.MILLISECONDS.toNanos(question.times().validMillis() - TICKET_MARGIN_MILLIS);
		entry.asked.addAll(question.workers());
		tickets.forEach((worker, ticket) -> entry.tickets.put(worker, new Ticket(ticket, expires)));
		this.log.write(new Decision.EligibilityAnswered(step.job(), step.local(), host, question.workers().size(),
				tickets.size(), TimeUnit.NANOSECONDS.toMillis(now - sentNanos)));
	}

	/**
	 * Forget the steps that nobody will ask for any more.
	 * @param isOver tells those steps
	 */
	void forget(Predicate<StepKey> isOver) {
		this.entries.keySet().removeIf(isOver);
		this.waiting.removeIf((question) -> isOver.test(question.step()));
	}

	/**
	 * Whether a first answer for a step has come.
	 * @param step the step
	 * @return {@code true} if {@link #allowed} can be used
	 */
	boolean isAnswered(StepKey step) {
		Entry entry = this.entries.get(step);
		return entry != null && !entry.asked.isEmpty();
	}

	boolean wasAsked(StepKey step, String worker) {
		Entry entry = this.entries.get(step);
		return entry != null && entry.asked.contains(worker);
	}

	boolean isAllowed(StepKey step, String worker) {
		Entry entry = this.entries.get(step);
		return entry != null && entry.tickets.containsKey(worker);
	}

	/**
	 * A ticket that can be used now.
	 * @param step the step
	 * @param worker the worker
	 * @return the ticket, empty if it has to be renewed
	 */
	Optional<String> ticket(StepKey step, String worker) {
		Entry entry = this.entries.get(step);
		Ticket ticket = (entry != null) ? entry.tickets.get(worker) : null;
		boolean isValid = ticket != null && this.clock.nanos() - ticket.expiresNanos() < 0;
		return isValid ? Optional.of(ticket.text()) : Optional.empty();
	}

	/**
	 * Note that a worker did not take a ticket, so that it is renewed before its next
	 * use.
	 * @param step the step
	 * @param worker the worker
	 */
	void refused(StepKey step, String worker) {
		Entry entry = this.entries.get(step);
		if (entry != null) {
			entry.tickets.computeIfPresent(worker, (id, ticket) -> new Ticket(ticket.text(), this.clock.nanos()));
		}
	}

	private static final class Entry {

		private final Set<String> asked = new HashSet<>();

		private final Map<String, Ticket> tickets = new HashMap<>();

		private boolean open;

		private int rank;

		private long notBeforeNanos;

		Entry(long nowNanos) {
			this.notBeforeNanos = nowNanos;
		}

	}

	private record Ticket(String text, long expiresNanos) {

	}

	private record Question(StepKey step, EligibilityTimes times, List<String> workers) {

		double costMillis() {
			return this.times.costMillis(this.workers.size());
		}

	}

}
