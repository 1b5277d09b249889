package org.monsoonrelay.adapters.node;

import java.util.concurrent.CountDownLatch;

/**
 * Waits for a graceful shutdown. The first SIGTERM or SIGINT starts the drain, after
 * which the exit code is 0; a second signal ends the process immediately with exit code
 * 1. Thread-safe.
 */
public final class Shutdown {

	private static final System.Logger LOGGER = System.getLogger(Shutdown.class.getName());

	private final CountDownLatch requested = new CountDownLatch(1);

	/**
	 * Blocks until SIGTERM or SIGINT, then drains the process.
	 * @param drain completes or ends the work in flight within its own deadline
	 * @return the exit code
	 */
	public int await(Runnable drain) {
		sun.misc.Signal.handle(new sun.misc.Signal("TERM"), (signal) -> handleSignal());
		sun.misc.Signal.handle(new sun.misc.Signal("INT"), (signal) -> handleSignal());
		try {
			this.requested.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		LOGGER.log(System.Logger.Level.INFO, "stopping: draining work in flight");
		drain.run();
		LOGGER.log(System.Logger.Level.INFO, "stopped");
		return 0;
	}

	private void handleSignal() {
		if (this.requested.getCount() == 0) {
			Runtime.getRuntime().halt(1);
		}
		this.requested.countDown();
	}

}
