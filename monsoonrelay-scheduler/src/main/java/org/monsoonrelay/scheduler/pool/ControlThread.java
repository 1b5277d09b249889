package org.monsoonrelay.scheduler.pool;

import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;

/**
 * The single thread that owns all control state. A task that fails has violated an
 * invariant: the failure is logged and the process halts, so that another process takes
 * over from the durable state.
 */
final class ControlThread extends ScheduledThreadPoolExecutor {

	private static final System.Logger LOGGER = System.getLogger(ControlThread.class.getName());

	private static final int INVARIANT_VIOLATION_EXIT_CODE = 70;

	ControlThread() {
		super(1, (task) -> new Thread(task, "control"));
		setRemoveOnCancelPolicy(true);
	}

	@Override
	protected void afterExecute(Runnable task, Throwable thrown) {
		super.afterExecute(task, thrown);
		Throwable failure = (thrown != null) ? thrown : failureOf(task);
		if (failure != null) {
			LOGGER.log(System.Logger.Level.ERROR, "task of the control thread failed; halting the process", failure);
			Runtime.getRuntime().halt(INVARIANT_VIOLATION_EXIT_CODE);
		}
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
