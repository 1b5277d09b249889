package org.monsoonrelay.benchmarks.capacity;

import java.util.HashMap;
import java.util.Map;

import org.monsoonrelay.logic.control.ActiveControlState;

/**
 * What the scheduler's control state takes in memory and processor time. Stateless.
 */
final class SchedulerSlopes {

	private static final int[] WORKERS = { 1_000, 2_000, 4_000 };

	private static final int[] ALL_WORKERS = { 2_500, 5_000, 10_000 };

	private static final int[] JOBS = { 500, 1_000, 2_000 };

	private static final int TASKS_A_JOB = 4;

	private static final int PLACED_JOBS = 250;

	private static final int RUN_MILLIS = 3_600_000;

	private static final int WARM_UPS = 3;

	private static final int TICKS = 20;

	private static final int ROUNDS = 3;

	private SchedulerSlopes() {
	}

	/**
	 * Heap by listed hosts; every process keeps the whole list.
	 * @return the slope
	 */
	static Slope heapByHosts() {
		return Meter.heap(ALL_WORKERS, SampleCell::workers);
	}

	/**
	 * Heap by owned workers without tasks, the host list included.
	 * @return the slope
	 */
	static Slope heapByWorkers() {
		ActiveControlState nothing = SampleCell.inForce(SampleCell.text(SampleCell.team(0), 0, 1, false, RUN_MILLIS));
		return Meter.heap(WORKERS, (count) -> {
			SampleScheduler scheduler = new SampleScheduler(count, nothing);
			scheduler.workers().clear();
			return scheduler;
		});
	}

	/**
	 * Heap by jobs that run, of four tasks each, at the racks' owner and the queue's
	 * owner together.
	 * @return the slope
	 */
	static Slope heapByRunningJobs() {
		Map<Integer, ActiveControlState> texts = new HashMap<>();
		for (int jobs : JOBS) {
			texts.put(jobs, jobs(SampleCell.team(0), jobs));
		}
		return Meter.heap(JOBS, (jobs) -> {
			SampleScheduler scheduler = running(texts.get(jobs));
			scheduler.workers().clear();
			return scheduler;
		});
	}

	/**
	 * Heap by declared workloads, in every process that has the text in force.
	 * @return the slope
	 */
	static Slope heapByDeclared() {
		return Meter.heap(JOBS, (jobs) -> jobs(SampleCell.team(0), jobs));
	}

	/**
	 * Processor time of one placement by the racks that are known, in nanoseconds.
	 * @return the slope
	 */
	static Slope placementByRacks() {
		ActiveControlState text = jobs(SampleCell.team(0), PLACED_JOBS);
		for (int round = 0; round < WARM_UPS; round++) {
			placement(text, ALL_WORKERS[0]);
		}
		int[] racks = { 312, 625, 1_250 };
		return Meter.over(racks,
				(count) -> Meter.least(ROUNDS, (round) -> placement(text, count * SampleCell.WORKERS_A_RACK)));
	}

	private static double placement(ActiveControlState text, int workers) {
		SampleScheduler scheduler = new SampleScheduler(workers, text);
		long nanos = Meter.processorNanos(scheduler.queues()::tick);
		return (double) nanos / (PLACED_JOBS * TASKS_A_JOB);
	}

	/**
	 * Processor time of a round of heartbeats by workers with four tasks each, in
	 * nanoseconds, without the wire.
	 * @return the slope
	 */
	static Slope heartbeatByWorkers() {
		return Meter.over(WORKERS, (count) -> {
			SampleScheduler scheduler = running(jobs(SampleCell.team(0), count), count);
			return repeated(scheduler::heartbeat);
		});
	}

	/**
	 * Processor time of one turn of a queue's owner by declared workloads of other teams.
	 * @return the slope
	 */
	static Slope turnByOtherWorkloads() {
		return Meter.over(JOBS, (jobs) -> {
			SampleScheduler scheduler = new SampleScheduler(SampleCell.WORKERS_A_RACK, jobs(SampleCell.team(1), jobs));
			return repeated(scheduler.queues()::tick);
		});
	}

	/**
	 * Processor time of one turn of a queue's owner by its own running jobs.
	 * @return the slope
	 */
	static Slope turnByOwnJobs() {
		return Meter.over(JOBS, (jobs) -> {
			SampleScheduler scheduler = running(jobs(SampleCell.team(0), jobs));
			return repeated(scheduler.queues()::tick);
		});
	}

	private static double repeated(Runnable work) {
		for (int round = 0; round < TICKS; round++) {
			work.run();
		}
		return Meter.least(TICKS, (round) -> Meter.processorNanos(work));
	}

	private static ActiveControlState jobs(String team, int jobs) {
		return SampleCell.inForce(SampleCell.text(team, jobs, TASKS_A_JOB, false, RUN_MILLIS));
	}

	private static SampleScheduler running(ActiveControlState text) {
		return running(text, WORKERS[0]);
	}

	private static SampleScheduler running(ActiveControlState text, int workers) {
		SampleScheduler scheduler = new SampleScheduler(workers, text);
		scheduler.tick();
		scheduler.heartbeat();
		scheduler.tick();
		return scheduler;
	}

}
