package org.monsoonrelay.adapters.node;

import java.util.concurrent.CountDownLatch;

/**
 * Waits for a planned stop. The first SIGTERM runs the drain and ends the process with 0,
 * a second one ends it at once. Thread-safe.
 */
public final class Shutdown {

	private static final System.Logger LOGGER = System.getLogger(Shutdown.class.getName());

	private final CountDownLatch requested = new CountDownLatch(1);

	/**
	 * Block until SIGTERM or SIGINT, then drain.
	 * @param drain ends the work in flight, within its own deadline
	 * @return the exit code
	 */
	public int await(Runnable drain) {
		sun.misc.Signal.handle(new sun.misc.Signal("TERM"), (signal) -> request());
		sun.misc.Signal.handle(new sun.misc.Signal("INT"), (signal) -> request());
		try {
			this.requested.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		LOGGER.log(System.Logger.Level.INFO, "stopping: work in flight is drained");
		drain.run();
		LOGGER.log(System.Logger.Level.INFO, "stopped");
		return 0;
	}

	private void request() {
		if (this.requested.getCount() == 0) {
			Runtime.getRuntime().halt(1);
		}
		this.requested.countDown();
	}

}
