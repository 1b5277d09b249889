package org.monsoonrelay.logic.fakes;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;

/**
 * Executor that stands in for the control thread and runs its tasks when the test calls
 * {@link #drain()}. Not thread-safe.
 */
public final class ManualExecutor implements Executor {

	private final Queue<Runnable> tasks = new ArrayDeque<>();

	@Override
	public void execute(Runnable task) {
		this.tasks.add(task);
	}

	/**
	 * Run all queued tasks, including those that they submit.
	 */
	public void drain() {
		while (!this.tasks.isEmpty()) {
			this.tasks.remove().run();
		}
	}

	/**
	 * Discard all queued tasks, as if the process had crashed.
	 */
	public void clear() {
		this.tasks.clear();
	}

}
