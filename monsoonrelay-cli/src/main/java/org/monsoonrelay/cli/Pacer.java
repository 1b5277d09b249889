package org.monsoonrelay.cli;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Monotonic time and pauses of commands that wait. Implementations are thread-safe.
 */
interface Pacer {

	/** The system's clock. */
	Pacer SYSTEM = new Pacer() {
		@Override
		public long nanoTime() {
			return System.nanoTime();
		}

		@Override
		public void pause(Duration length) throws InterruptedException {
			TimeUnit.NANOSECONDS.sleep(length.toNanos());
		}
	};

	/**
	 * Monotonic time.
	 * @return nanoseconds from an arbitrary origin
	 */
	long nanoTime();

	/**
	 * Let time pass.
	 * @param length how long
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	void pause(Duration length) throws InterruptedException;

}
