package org.monsoonrelay.systemtests.host;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * All runs on all workers, and what must not be among them. An end {@code done} is
 * <em>firm</em> unless the lease of its worker lapsed, or the worker crashed, after the
 * end and before its acknowledgement: then hosts may have taken the run for lost.
 * Invariants that it checks: no task is started after a firm end of it was acknowledged;
 * no two runs of a task are active on workers whose leases hold. A gang's end counts for
 * all its members. Thread-safe; calls nothing back but the leases.
 */
final class TaskRuns {

	private final Map<String, List<Run>> runs = new HashMap<>();

	private final Set<String> begunJobs = ConcurrentHashMap.newKeySet();

	private final List<String> faults = new ArrayList<>();

	private final Set<String> startedAgain = new HashSet<>();

	private static String unit(String task) {
		return task.contains(WorkerFake.GANG_STEP) ? task.substring(0, task.lastIndexOf('.')) : task;
	}

	synchronized void started(String task, int attempt, String worker, long fence, BooleanSupplier holds) {
		Run run = new Run(task, attempt, worker, fence, holds);
		List<Run> others = this.runs.computeIfAbsent(unit(task), (unit) -> new ArrayList<>());
		for (Run other : others) {
			if (other.isFirm() && other.notedMillis > 0) {
				this.faults.add("start after the acknowledged end: " + run + ", after " + other);
				this.startedAgain.add(task);
			}
			if (other.task.equals(task) && other.how == null && other.holds.getAsBoolean()) {
				this.faults.add("two runs at the same time: " + run + ", beside " + other);
			}
		}
		others.add(run);
		this.begunJobs.add(task.substring(0, task.indexOf('.')));
	}

	/**
	 * Whether a task of a job was ever begun.
	 * @param job the job's id
	 * @return {@code true} if so
	 */
	boolean hasBegun(String job) {
		return this.begunJobs.contains(job);
	}

	synchronized void ended(String task, int attempt, String worker, String how) {
		of(task, attempt, worker).forEach((run) -> {
			run.how = how;
			run.endedMillis = System.currentTimeMillis();
		});
	}

	synchronized void acknowledged(String task, int attempt, String worker) {
		of(task, attempt, worker).forEach((run) -> run.notedMillis = System.currentTimeMillis());
		notifyAll();
	}

	/**
	 * Wait until the next end is acknowledged.
	 * @param limitMillis how long to wait at most
	 * @throws InterruptedException if interrupted
	 */
	synchronized void awaitAcknowledgement(long limitMillis) throws InterruptedException {
		wait(limitMillis);
	}

	private Stream<Run> of(String task, int attempt, String worker) {
		return this.runs.getOrDefault(unit(task), List.of())
			.stream()
			.filter((run) -> run.task.equals(task) && run.attempt == attempt && run.worker.equals(worker));
	}

	/**
	 * Record that the lease of a worker lapsed, or that it crashed.
	 * @param worker the worker's name, which no other incarnation has
	 */
	synchronized void lapsed(String worker) {
		this.runs.values()
			.stream()
			.flatMap(List::stream)
			.filter((run) -> run.worker.equals(worker) && run.notedMillis == 0)
			.forEach((run) -> run.isLapsed = true);
	}

	/**
	 * What must not have happened.
	 * @return a line for each
	 */
	synchronized List<String> faults() {
		return List.copyOf(this.faults);
	}

	/**
	 * What only shows at the end, where no task is of a gang: starts after a firm end
	 * that was acknowledged later, and starts after as many acknowledged failures as a
	 * task may have.
	 * @param mostFailures how many that are
	 * @return a line for each
	 */
	synchronized List<String> lateFaults(int mostFailures) {
		List<String> late = new ArrayList<>();
		this.runs.forEach((task, all) -> {
			for (Run run : all) {
				List<Run> before = all.stream()
					.filter((other) -> other != run && other.how != null && other.notedMillis > 0 && !other.isLapsed
							&& other.endedMillis <= run.startedMillis)
					.toList();
				before.stream()
					.filter((other) -> other.isDone() && !this.startedAgain.contains(task))
					.findFirst()
					.ifPresent((other) -> late
						.add("start after an end that was acknowledged later: " + run + ", after " + other));
				if (before.stream().filter((other) -> "failed".equals(other.how)).count() >= mostFailures) {
					late.add("start after too many acknowledged failures: " + run + ", of " + all);
				}
			}
		});
		return late;
	}

	/**
	 * Runs that go on, or whose ends nobody has acknowledged.
	 * @return a line for each
	 */
	synchronized List<String> unacknowledged() {
		return this.runs.values()
			.stream()
			.flatMap(List::stream)
			.filter((run) -> run.notedMillis == 0)
			.map(Run::toString)
			.toList();
	}

	synchronized int startCount() {
		return this.runs.values().stream().mapToInt(List::size).sum();
	}

	/**
	 * Whether the tasks of a completed job were done as often as they have to be: each at
	 * least once, and with one firm attempt at most.
	 * @param job the job's id
	 * @param units how many tasks it has, a gang counting as one
	 * @return what is wrong, empty if nothing
	 */
	synchronized List<String> wronglyDone(String job, int units) {
		Map<String, List<Run>> done = this.runs.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().startsWith(job + "."))
			.collect(Collectors.toMap(Map.Entry::getKey,
					(entry) -> entry.getValue().stream().filter(Run::isDone).toList()));
		List<String> wrong = new ArrayList<>();
		if (done.values().stream().filter((ends) -> !ends.isEmpty()).count() != units) {
			wrong.add("job " + job + " is completed, but only these tasks were done: " + done);
		}
		done.forEach((unit, ends) -> {
			Set<Integer> firm = ends.stream().filter(Run::isFirm).map((run) -> run.attempt).collect(Collectors.toSet());
			if (firm.size() > 1) {
				wrong.add(unit + " was done more often than once though leases held: " + ends);
			}
		});
		return wrong;
	}

	/**
	 * Whether tasks of a job that lasts are at work.
	 * @param job the job's id
	 * @param tasks how many
	 * @return {@code true} if so many have a run that has not ended
	 */
	synchronized boolean areAtWork(String job, int tasks) {
		return tasks == this.runs.values()
			.stream()
			.flatMap(List::stream)
			.filter((run) -> run.task.startsWith(job + ".") && run.how == null)
			.map((run) -> run.task)
			.distinct()
			.count();
	}

	/**
	 * Write all runs to a file, in the order of their starts.
	 * @param file the file
	 * @throws IOException if it cannot be written
	 */
	synchronized void writeTo(Path file) throws IOException {
		Files.write(file,
				this.runs.values()
					.stream()
					.flatMap(List::stream)
					.sorted((one, other) -> Long.compare(one.startedMillis, other.startedMillis))
					.map(Run::toString)
					.toList());
	}

	private static final class Run {

		private final String task;

		private final int attempt;

		private final String worker;

		private final long fence;

		private final BooleanSupplier holds;

		private final long startedMillis = System.currentTimeMillis();

		private String how;

		private long endedMillis;

		private long notedMillis;

		private boolean isLapsed;

		private Run(String task, int attempt, String worker, long fence, BooleanSupplier holds) {
			this.task = task;
			this.attempt = attempt;
			this.worker = worker;
			this.fence = fence;
			this.holds = holds;
		}

		private boolean isDone() {
			return "done".equals(this.how);
		}

		private boolean isFirm() {
			return isDone() && !this.isLapsed;
		}

		@Override
		public String toString() {
			return "%s run %d on %s, fence %d, start %d, end %d %s, noted %d%s".formatted(this.task, this.attempt,
					this.worker, this.fence, this.startedMillis, this.endedMillis, this.how, this.notedMillis,
					this.isLapsed ? ", lease lapsed before" : "");
		}

	}

}
