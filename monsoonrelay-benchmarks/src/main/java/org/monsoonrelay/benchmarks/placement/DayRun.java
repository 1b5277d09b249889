package org.monsoonrelay.benchmarks.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

import org.HdrHistogram.Histogram;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.worker.Worker;

/**
 * Lets one generated day pass over a cell, from event to event. Every time is of the
 * model, so that the same seed gives the same figures on any machine. Not thread-safe.
 */
final class DayRun {

	private static final long TICK_MILLIS = 50;

	private static final long RETRY_MILLIS = 1000;

	private static final long SAMPLE_MILLIS = 60_000;

	private final BenchmarkCell cell;

	private final DayPlacer placer;

	private final PriorityQueue<Running> running = new PriorityQueue<>(Comparator.comparingLong(Running::endsMillis));

	private final List<Waiting> waiting = new ArrayList<>();

	private final Map<DayLabel, Histogram> waits = new EnumMap<>(DayLabel.class);

	private double usedShares;

	private double emptyWorkers;

	private int samples;

	private long placed;

	private int services;

	private double inOneDomain;

	DayRun(BenchmarkCell cell, DayPlacer placer) {
		this.cell = cell;
		this.placer = placer;
		for (DayLabel label : DayLabel.values()) {
			this.waits.put(label, new Histogram(3));
		}
	}

	DayResult run(String name, List<DayJob> jobs) {
		int arrived = 0;
		long now = 0;
		long sampleAt = 0;
		while (now < GeneratedDay.MILLIS) {
			for (; sampleAt <= now; sampleAt += SAMPLE_MILLIS) {
				sample();
			}
			while (!this.running.isEmpty() && this.running.peek().endsMillis <= now) {
				Running ended = this.running.poll();
				ended.worker.release(ended.attempt);
			}
			for (; arrived < jobs.size() && jobs.get(arrived).arrivesMillis() <= now; arrived++) {
				this.waiting.add(new Waiting(jobs.get(arrived)));
			}
			long refusalsBefore = this.placer.refusals();
			place(now);
			long retry = (this.placer.refusals() > refusalsBefore) ? TICK_MILLIS : RETRY_MILLIS;
			long next = (arrived < jobs.size()) ? jobs.get(arrived).arrivesMillis() : GeneratedDay.MILLIS;
			next = this.running.isEmpty() ? next : Math.min(next, this.running.peek().endsMillis);
			next = this.waiting.isEmpty() ? next : Math.min(next, now + retry);
			now = Math.max(now + TICK_MILLIS, (next + TICK_MILLIS - 1) / TICK_MILLIS * TICK_MILLIS);
		}
		this.waiting.forEach((left) -> record(left, GeneratedDay.MILLIS, left.tasks));
		return new DayResult(name, this.waits, this.usedShares / this.samples, this.emptyWorkers / this.samples,
				this.placed, this.waiting.stream().mapToLong((left) -> left.tasks).sum(), this.placer.messages(),
				this.placer.refusals(), this.inOneDomain / Math.max(1, this.services));
	}

	private void place(long now) {
		if (this.waiting.isEmpty()) {
			return;
		}
		this.placer.beginRound(now);
		this.waiting.sort(Comparator.comparing((Waiting entry) -> entry.job.label() != DayLabel.URGENT)
			.thenComparing((entry) -> entry.job.label() != DayLabel.SERVICE)
			.thenComparing((entry) -> entry.job.arrivesMillis()));
		Set<Resources> full = new HashSet<>();
		for (Waiting entry : this.waiting) {
			boolean single = entry.job.label() != DayLabel.GANG;
			if (single && full.contains(entry.job.size())) {
				continue;
			}
			Map<AttemptId, Worker> started = this.placer.place(entry.job, entry.tasks);
			started.forEach(
					(attempt, worker) -> this.running.add(new Running(now + entry.job.runMillis(), attempt, worker)));
			record(entry, now, started.size());
			countDomains(entry, started);
			entry.tasks -= started.size();
			this.placed += started.size();
			if (single && entry.tasks > 0) {
				full.add(entry.job.size());
			}
		}
		this.waiting.removeIf((entry) -> entry.tasks == 0);
	}

	private void countDomains(Waiting entry, Map<AttemptId, Worker> started) {
		if (entry.job.label() == DayLabel.SERVICE) {
			started.values().forEach((worker) -> entry.byDomain.merge(this.cell.domain(worker), 1, Integer::sum));
			if (started.size() == entry.tasks) {
				this.services++;
				this.inOneDomain += (double) Collections.max(entry.byDomain.values()) / entry.job.tasks();
			}
		}
	}

	private void record(Waiting entry, long now, int tasks) {
		if (tasks > 0) {
			this.waits.get(entry.job.label()).recordValueWithCount(now - entry.job.arrivesMillis(), tasks);
		}
	}

	private void sample() {
		long used = 0;
		long held = 0;
		int empty = 0;
		for (Worker worker : this.cell.workers()) {
			if (worker.committed().equals(Resources.NONE)) {
				empty++;
				continue;
			}
			used += worker.committed().processors();
			held += worker.capacity().processors();
		}
		this.usedShares += (double) used / Math.max(1, held);
		this.emptyWorkers += empty;
		this.samples++;
	}

	private record Running(long endsMillis, AttemptId attempt, Worker worker) {

	}

	private static final class Waiting {

		private final DayJob job;

		private final Map<String, Integer> byDomain = new HashMap<>();

		private int tasks;

		Waiting(DayJob job) {
			this.job = job;
			this.tasks = job.tasks();
		}

	}

}
