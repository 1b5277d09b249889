package org.monsoonrelay.logic.pool;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.RunnableScheduledFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * An executor with a virtual clock that only advances in {@link #runFor}, so that tests
 * can check durations exactly. An exception of a task is thrown to the test. Not
 * thread-safe.
 */
public final class VirtualTime extends AbstractExecutorService implements ScheduledExecutorService {

	private static final long BEGIN_MILLIS = 1_000_000;

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingLong(Task::dueNanos).thenComparingLong(Task::sequence));

	private long nowNanos;

	private long sequence;

	public PoolClock clock() {
		return new PoolClock(() -> this.nowNanos, this::millis);
	}

	public long millis() {
		return BEGIN_MILLIS + TimeUnit.NANOSECONDS.toMillis(this.nowNanos);
	}

	public void runFor(long millis) {
		long end = this.nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
		while (!this.tasks.isEmpty() && this.tasks.peek().dueNanos() <= end) {
			Task next = this.tasks.poll();
			this.nowNanos = Math.max(this.nowNanos, next.dueNanos());
			next.run();
		}
		this.nowNanos = end;
	}

	/** Returns the number of tasks that have not run yet and were not cancelled. */
	public long pendingTaskCount() {
		return this.tasks.stream().filter((task) -> !task.isCancelled()).count();
	}

	@Override
	public void execute(Runnable command) {
		add(command, 0, 0);
	}

	@Override
	public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
		return add(command, unit.toNanos(delay), 0);
	}

	@Override
	public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
		throw new UnsupportedOperationException("not used");
	}

	@Override
	public ScheduledFuture<?> scheduleAtFixedRate(Runnable command, long initial, long period, TimeUnit unit) {
		return add(command, unit.toNanos(initial), unit.toNanos(period));
	}

	@Override
	public ScheduledFuture<?> scheduleWithFixedDelay(Runnable command, long initial, long delay, TimeUnit unit) {
		return add(command, unit.toNanos(initial), unit.toNanos(delay));
	}

	private Task add(Runnable command, long delayNanos, long periodNanos) {
		Task task = new Task(command, this.nowNanos + delayNanos, periodNanos, this.sequence++);
		this.tasks.add(task);
		return task;
	}

	@Override
	public void shutdown() {
		this.tasks.clear();
	}

	@Override
	public List<Runnable> shutdownNow() {
		this.tasks.clear();
		return List.of();
	}

	@Override
	public boolean isShutdown() {
		return false;
	}

	@Override
	public boolean isTerminated() {
		return false;
	}

	@Override
	public boolean awaitTermination(long timeout, TimeUnit unit) {
		return true;
	}

	private final class Task extends FutureTask<Object> implements RunnableScheduledFuture<Object> {

		private final Runnable command;

		private final long dueNanos;

		private final long periodNanos;

		private final long sequence;

		private Task next;

		Task(Runnable command, long dueNanos, long periodNanos, long sequence) {
			super(command, null);
			this.command = command;
			this.dueNanos = dueNanos;
			this.periodNanos = periodNanos;
			this.sequence = sequence;
		}

		@Override
		public void run() {
			if (isCancelled()) {
				return;
			}
			this.command.run();
			if (isPeriodic() && !isCancelled()) {
				Task next = add(this.command, this.periodNanos, this.periodNanos);
				this.next = next;
			}
		}

		@Override
		public boolean cancel(boolean mayInterrupt) {
			if (this.next != null) {
				return this.next.cancel(mayInterrupt);
			}
			return super.cancel(mayInterrupt);
		}

		long dueNanos() {
			return this.dueNanos;
		}

		long sequence() {
			return this.sequence;
		}

		@Override
		public boolean isPeriodic() {
			return this.periodNanos > 0;
		}

		@Override
		public long getDelay(TimeUnit unit) {
			return unit.convert(this.dueNanos - VirtualTime.this.nowNanos, TimeUnit.NANOSECONDS);
		}

		@Override
		public int compareTo(Delayed other) {
			return Long.compare(getDelay(TimeUnit.NANOSECONDS), other.getDelay(TimeUnit.NANOSECONDS));
		}

	}

}
