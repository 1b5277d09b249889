package org.monsoonrelay.gateway;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

import org.monsoonrelay.logic.routing.ForwardedRequest;

/**
 * Logs requests whose outcome is unknown, so that an operator can check them at the
 * backend server. Invariant: at most a fixed number of lines per second; the next line
 * states how many were suppressed. Thread-safe.
 */
final class UnknownOutcomeLog {

	private static final System.Logger LOGGER = System.getLogger(UnknownOutcomeLog.class.getName());

	private static final int LINES_PER_PERIOD = 10;

	private static final Duration PERIOD = Duration.ofSeconds(1);

	private final InstantSource clock;

	private Instant periodEnd = Instant.MIN;

	private int remainingLines;

	private int suppressedCount;

	UnknownOutcomeLog(InstantSource clock) {
		this.clock = clock;
	}

	synchronized void log(ForwardedRequest request, String detail) {
		Instant now = this.clock.instant();
		if (!now.isBefore(this.periodEnd)) {
			this.periodEnd = now.plus(PERIOD);
			this.remainingLines = LINES_PER_PERIOD;
		}
		if (this.remainingLines == 0) {
			this.suppressedCount++;
			return;
		}
		this.remainingLines--;
		LOGGER.log(System.Logger.Level.WARNING,
				"outcome unknown: request {0}, service {1}, operation {2}: {3}; {4} similar lines suppressed before",
				request.id(), request.service(), request.operation().name(), detail, this.suppressedCount);
		this.suppressedCount = 0;
	}

}
