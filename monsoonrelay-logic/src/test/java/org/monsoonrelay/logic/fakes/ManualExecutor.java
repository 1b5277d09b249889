package org.monsoonrelay.logic.fakes;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;

/**
 * The control thread by hand: runs what it was given when a test says so. Not
 * thread-safe.
 */
public final class ManualExecutor implements Executor {

	private final Queue<Runnable> tasks = new ArrayDeque<>();

	@Override
	public void execute(Runnable task) {
		this.tasks.add(task);
	}

	/**
	 * Run all tasks, and those that they add.
	 */
	public void drain() {
		while (!this.tasks.isEmpty()) {
			this.tasks.remove().run();
		}
	}

	/**
	 * Drop all tasks, as when the process dies.
	 */
	public void clear() {
		this.tasks.clear();
	}

}
