package org.monsoonrelay.logic.pool;

import java.lang.reflect.Proxy;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;

/**
 * The control thread of one process on virtual time, which can be suspended: what is due
 * meanwhile happens when it goes on. Not thread-safe.
 */
final class SimulatedProcess {

	private final VirtualTime time;

	private final Set<Runnable> due = new LinkedHashSet<>();

	private boolean suspended;

	SimulatedProcess(VirtualTime time) {
		this.time = time;
	}

	/**
	 * Returns the executor of the control thread.
	 * @return the executor
	 */
	ScheduledExecutorService executor() {
		return (ScheduledExecutorService) Proxy.newProxyInstance(getClass().getClassLoader(),
				new Class<?>[] { ScheduledExecutorService.class }, (proxy, method, arguments) -> {
					Object[] wrapped = arguments.clone();
					Runnable command = (Runnable) wrapped[0];
					wrapped[0] = (Runnable) () -> run(command);
					return method.invoke(this.time, wrapped);
				});
	}

	/**
	 * Runs a command at once, or once the process goes on.
	 * @param command the command
	 */
	void run(Runnable command) {
		if (this.suspended) {
			this.due.add(command);
			return;
		}
		command.run();
	}

	void suspend() {
		this.suspended = true;
	}

	void resume() {
		this.suspended = false;
		List<Runnable> commands = List.copyOf(this.due);
		this.due.clear();
		commands.forEach((command) -> this.time.execute(() -> run(command)));
	}

}
