package org.monsoonrelay.benchmarks.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The limit that no set of gateways can pass: one queue before all slots of the cell,
 * with no way between them. A request whose deadline comes while it waits is given up.
 * Not thread-safe.
 */
final class CentralQueue {

	private static final long NANOS_A_SECOND = 1_000_000_000L;

	private final ModelCell cell;

	private final ModelTraffic stream;

	private final ModelClock clock = new ModelClock();

	private final UniformRandomProvider random;

	private final Deque<Long> queue = new ArrayDeque<>();

	private final ModelExecutor executor;

	private final ModelResult result = new ModelResult();

	private final long turnaround;

	CentralQueue(ModelCell cell, ModelTraffic stream, Duration turnaround) {
		this.turnaround = turnaround.toNanos();
		this.cell = cell;
		this.stream = stream;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(cell.seed());
		this.executor = new ModelExecutor(cell.capacity());
	}

	ModelResult run() {
		scheduleArrival();
		this.clock.runUntil(this.cell.seconds() * NANOS_A_SECOND);
		return this.result;
	}

	private long exponential(double mean) {
		return Math.round(-mean * Math.log1p(-this.random.nextDouble()));
	}

	private void scheduleArrival() {
		double meanGap = this.cell.service().toNanos() / (this.cell.capacity() * this.stream.load());
		this.clock.after(exponential(meanGap), () -> {
			this.queue.add(this.clock.nanos());
			if (isMeasured(this.clock.nanos())) {
				this.result.arrived();
			}
			serve();
			scheduleArrival();
		});
	}

	private static boolean isMeasured(long arrivedAt) {
		return arrivedAt >= NANOS_A_SECOND;
	}

	private void serve() {
		while (!this.queue.isEmpty() && isLate(this.queue.peek())) {
			if (isMeasured(this.queue.poll())) {
				this.result.notRun();
			}
		}
		if (this.queue.isEmpty() || !this.executor.tryStart()) {
			return;
		}
		long arrivedAt = this.queue.poll();
		if (isMeasured(arrivedAt)) {
			this.result.started(this.clock.nanos() - arrivedAt);
		}
		this.clock.after(exponential(this.cell.service().toNanos()) + this.turnaround, () -> {
			this.executor.end();
			serve();
		});
	}

	private boolean isLate(long arrivedAt) {
		return this.clock.nanos() - arrivedAt >= this.stream.deadline().toNanos();
	}

}
