package org.monsoonrelay.benchmarks.routing;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Time of a model: it stands still while an event runs and then moves to the next event.
 * Events of the same time run in the order in which they were added. Not thread-safe.
 */
final class ModelClock implements InstantSource {

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));

	private long now;

	private long sequence;

	@Override
	public Instant instant() {
		return Instant.EPOCH.plusNanos(this.now);
	}

	long nanos() {
		return this.now;
	}

	void after(long nanos, Runnable action) {
		this.events.add(new Event(this.now + nanos, this.sequence++, action));
	}

	void runUntil(long end) {
		while (!this.events.isEmpty() && this.events.peek().at() <= end) {
			Event event = this.events.poll();
			this.now = event.at();
			event.action().run();
		}
	}

	private record Event(long at, long sequence, Runnable action) {

	}

}
