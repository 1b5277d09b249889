package org.monsoonrelay.scheduler.pool;

import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.function.IntConsumer;

/**
 * A single thread that owns control state. A task that fails has violated an invariant:
 * the failure is logged and the process halts, so that another process takes over from
 * the durable state. A planned shutdown rejects further tasks, which is no failure.
 */
final class ControlThread extends ScheduledThreadPoolExecutor {

	private static final System.Logger LOGGER = System.getLogger(ControlThread.class.getName());

	private static final int INVARIANT_VIOLATION_EXIT_CODE = 70;

	private final IntConsumer halt;

	ControlThread(String name) {
		this(name, Runtime.getRuntime()::halt);
	}

	/**
	 * Creates a control thread.
	 * @param name its name
	 * @param halt ends the process at once with an exit code
	 */
	ControlThread(String name, IntConsumer halt) {
		super(1, (task) -> new Thread(task, name));
		this.halt = halt;
		setRemoveOnCancelPolicy(true);
	}

	@Override
	protected void afterExecute(Runnable task, Throwable thrown) {
		super.afterExecute(task, thrown);
		Throwable failure = (thrown != null) ? thrown : failureOf(task);
		if (failure != null && !isRejectedByShutdown(failure)) {
			LOGGER.log(System.Logger.Level.ERROR, "task of a control thread failed; halting the process", failure);
			this.halt.accept(INVARIANT_VIOLATION_EXIT_CODE);
		}
	}

	// A task that runs while the thread is shut down may still schedule others.
	private boolean isRejectedByShutdown(Throwable failure) {
		return failure instanceof RejectedExecutionException && isShutdown();
	}

	private static Throwable failureOf(Runnable task) {
		if (!(task instanceof Future<?> future) || !future.isDone()) {
			return null;
		}
		try {
			future.get();
			return null;
		}
		catch (CancellationException ex) {
			return null;
		}
		catch (ExecutionException ex) {
			return ex.getCause();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return null;
		}
	}

}
