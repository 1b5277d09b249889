package org.monsoonrelay.adapters.http;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jooby.Jooby;
import io.jooby.StatusCode;

/**
 * Routes {@code /live}, {@code /ready} and {@code /metrics} of a process. Thread-safe.
 */
public final class HealthRoutes {

	private static final String JSON = "application/json";

	private final MetricRegistry metrics;

	private final Supplier<Optional<String>> unreadyReason;

	private final ObjectMapper mapper = new ObjectMapper()
		.registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

	/**
	 * Creates the routes.
	 * @param metrics the metrics to publish
	 * @param unreadyReason supplies the reason why the process is not ready, empty if it
	 * is
	 */
	public HealthRoutes(MetricRegistry metrics, Supplier<Optional<String>> unreadyReason) {
		this.metrics = metrics;
		this.unreadyReason = unreadyReason;
	}

	/**
	 * Adds the routes.
	 * @param application the application
	 */
	public void addTo(Jooby application) {
		application.get("/live", (context) -> "live");
		application.get("/ready", (context) -> {
			Optional<String> reason = this.unreadyReason.get();
			reason.ifPresent((text) -> context.setResponseCode(StatusCode.SERVICE_UNAVAILABLE));
			return reason.orElse("ready");
		});
		application.get("/metrics", (context) -> {
			context.setResponseHeader("Content-Type", JSON);
			return writeMetrics();
		});
	}

	private String writeMetrics() throws JsonProcessingException {
		return this.mapper.writeValueAsString(this.metrics);
	}

}
