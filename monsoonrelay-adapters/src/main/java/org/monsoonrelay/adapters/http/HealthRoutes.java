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
 * Adds {@code /live}, {@code /ready} and {@code /metrics} to an application. Thread-safe.
 */
public final class HealthRoutes {

	private static final String JSON = "application/json";

	private final MetricRegistry metrics;

	private final Supplier<Optional<String>> notReady;

	private final ObjectMapper mapper = new ObjectMapper()
		.registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

	/**
	 * Create the routes.
	 * @param metrics the metrics to show
	 * @param notReady why the process is not ready, empty if it is
	 */
	public HealthRoutes(MetricRegistry metrics, Supplier<Optional<String>> notReady) {
		this.metrics = metrics;
		this.notReady = notReady;
	}

	/**
	 * Add the routes.
	 * @param application the application
	 */
	public void addTo(Jooby application) {
		application.get("/live", (context) -> "live");
		application.get("/ready", (context) -> {
			Optional<String> reason = this.notReady.get();
			reason.ifPresent((text) -> context.setResponseCode(StatusCode.SERVICE_UNAVAILABLE));
			return reason.orElse("ready");
		});
		application.get("/metrics", (context) -> {
			context.setResponseHeader("Content-Type", JSON);
			return write();
		});
	}

	private String write() throws JsonProcessingException {
		return this.mapper.writeValueAsString(this.metrics);
	}

}
