package org.monsoonrelay.adapters.logging;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.turbo.TurboFilter;
import ch.qos.logback.core.spi.FilterReply;
import org.slf4j.Marker;

/**
 * Limits how many lines a logger writes at a level within a time, so that a fault which
 * repeats does not flood the logs. What is dropped is counted. Thread-safe.
 */
public final class LogRateLimitFilter extends TurboFilter {

	private static final AtomicLong DROPPED = new AtomicLong();

	private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();

	private final LongSupplier nanoTime;

	private final Map<String, Window> windows = new ConcurrentHashMap<>();

	private int linesPerWindow = 20;

	public LogRateLimitFilter() {
		this(System::nanoTime);
	}

	LogRateLimitFilter(LongSupplier nanoTime) {
		this.nanoTime = nanoTime;
	}

	/**
	 * Set how many lines a logger may write at a level within ten seconds.
	 * @param lines the number of lines
	 */
	public void setLinesPerWindow(int lines) {
		this.linesPerWindow = lines;
	}

	/**
	 * Number of lines dropped in this process so far.
	 * @return the count
	 */
	public static long droppedCount() {
		return DROPPED.get();
	}

	@Override
	public FilterReply decide(Marker marker, Logger logger, Level level, String format, Object[] parameters,
			Throwable failure) {
		boolean line = format != null && logger.isEnabledFor(level);
		if (!line || admits(logger.getName() + level)) {
			return FilterReply.NEUTRAL;
		}
		DROPPED.incrementAndGet();
		return FilterReply.DENY;
	}

	private boolean admits(String key) {
		long now = this.nanoTime.getAsLong();
		Window window = this.windows.compute(key,
				(same, present) -> (present == null || now - present.sinceNanos() >= WINDOW_NANOS) ? new Window(now, 1)
						: new Window(present.sinceNanos(), present.lines() + 1));
		return window.lines() <= this.linesPerWindow;
	}

	private record Window(long sinceNanos, int lines) {

	}

}
