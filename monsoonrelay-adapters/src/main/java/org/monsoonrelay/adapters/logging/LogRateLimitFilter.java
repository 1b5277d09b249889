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
 * Limits the number of lines that a logger writes at a level within a time window, so
 * that a repeated fault does not flood the logs. Counts the dropped lines. Thread-safe.
 */
public final class LogRateLimitFilter extends TurboFilter {

	private static final AtomicLong DROPPED_COUNT = new AtomicLong();

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
	 * Sets the maximum number of lines of a logger and level within ten seconds.
	 * @param lines the maximum number of lines
	 */
	public void setLinesPerWindow(int lines) {
		this.linesPerWindow = lines;
	}

	/**
	 * Returns the number of lines that this process has dropped.
	 * @return the count
	 */
	public static long droppedCount() {
		return DROPPED_COUNT.get();
	}

	@Override
	public FilterReply decide(Marker marker, Logger logger, Level level, String format, Object[] parameters,
			Throwable failure) {
		boolean isLogged = format != null && logger.isEnabledFor(level);
		if (!isLogged || isWithinLimit(logger.getName() + level)) {
			return FilterReply.NEUTRAL;
		}
		DROPPED_COUNT.incrementAndGet();
		return FilterReply.DENY;
	}

	private boolean isWithinLimit(String key) {
		long now = this.nanoTime.getAsLong();
		Window window = this.windows.compute(key,
				(ignored, current) -> (current == null || now - current.sinceNanos() >= WINDOW_NANOS)
						? new Window(now, 1) : new Window(current.sinceNanos(), current.lines() + 1));
		return window.lines() <= this.linesPerWindow;
	}

	private record Window(long sinceNanos, int lines) {

	}

}
