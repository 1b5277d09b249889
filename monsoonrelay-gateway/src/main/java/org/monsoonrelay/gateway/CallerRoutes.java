package org.monsoonrelay.gateway;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.StatusCode;
import org.monsoonrelay.adapters.http.Problem;
import org.monsoonrelay.logic.routing.ForwardedRequest;
import org.monsoonrelay.model.request.NotRunReason;
import org.monsoonrelay.model.request.RequestOutcome;
import org.monsoonrelay.model.request.RequestOutcome.HeaderLine;
import org.monsoonrelay.model.workload.Operation;
import org.monsoonrelay.model.workload.ServiceDeclaration;

/**
 * The callers' side: {@code /services/SERVICE/OPERATION}. Each request gets one answer: a
 * backend server's whole answer, or a problem that says "not run" or "unknown".
 * Thread-safe.
 */
final class CallerRoutes {

	/** Header with the time that the caller still waits, in milliseconds. */
	static final String DEADLINE = "Monsoonrelay-Deadline-Ms";

	private static final Set<String> NOT_FORWARDED = Set.of("host", "connection", "content-length", "transfer-encoding",
			"keep-alive", "upgrade", "te", "trailer", "expect", "proxy-connection", "accept-encoding",
			DEADLINE.toLowerCase(Locale.ROOT));

	private static final Set<String> NOT_RETURNED = Set.of("connection", "content-length", "transfer-encoding",
			"keep-alive", "upgrade", "trailer", "date");

	private static final int MAXIMUM_DEADLINE_MILLIS = 600_000;

	private final GatewayServices services;

	private final InstantSource clock;

	private final Supplier<String> requestIds;

	private final MetricRegistry metrics;

	private final AtomicBoolean stopping = new AtomicBoolean();

	CallerRoutes(GatewayServices services, InstantSource clock, Supplier<String> requestIds, MetricRegistry metrics) {
		this.services = services;
		this.clock = clock;
		this.requestIds = requestIds;
		this.metrics = metrics;
	}

	void addTo(Jooby application) {
		String path = "/services/{service}/{operation}";
		application.get(path, this::handle);
		application.post(path, this::handle);
		application.put(path, this::handle);
		application.delete(path, this::handle);
		application.error((context, cause, status) -> Problem
			.of("invalid-request", "Invalid request", status.value(), String.valueOf(cause.getMessage()))
			.send(context));
	}

	void stop() {
		this.stopping.set(true);
	}

	private Object handle(Context context) throws Exception {
		String service = context.path("service").value();
		String operation = context.path("operation").value();
		Optional<ServiceDeclaration> declared = this.services.declaration(service);
		if (this.stopping.get()) {
			return answer(context, new RequestOutcome.NotRun(NotRunReason.STOPPING, GatewayServices.RETRY_AFTER));
		}
		if (declared.isEmpty()) {
			return answer(context,
					new RequestOutcome.NotRun(NotRunReason.UNKNOWN_SERVICE, GatewayServices.RETRY_AFTER));
		}
		Optional<Operation> wanted = declared.get()
			.operations()
			.stream()
			.filter((candidate) -> candidate.name().equals(operation))
			.findFirst();
		if (wanted.isEmpty()) {
			return answer(context,
					new RequestOutcome.NotRun(NotRunReason.UNKNOWN_OPERATION, GatewayServices.RETRY_AFTER));
		}
		return forward(context, service, wanted.get());
	}

	private Object forward(Context context, String service, Operation operation) throws Exception {
		Optional<Instant> deadline = deadline(context, operation);
		if (deadline.isEmpty()) {
			return answer(context,
					new RequestOutcome.NotRun(NotRunReason.INVALID_REQUEST, GatewayServices.RETRY_AFTER));
		}
		List<HeaderLine> headers = new ArrayList<>();
		context.headerMap().forEach((name, value) -> {
			if (!NOT_FORWARDED.contains(name.toLowerCase(Locale.ROOT))) {
				headers.add(new HeaderLine(name, value));
			}
		});
		String query = context.queryString();
		ForwardedRequest request = new ForwardedRequest(this.requestIds.get(), service, operation, context.getMethod(),
				(query.startsWith("?")) ? query.substring(1) : query, headers, context.body().bytes(), deadline.get());
		return context.detach((detached) -> this.services.route(request).whenComplete((outcome, failure) -> {
			if (failure != null) {
				answer(detached, new RequestOutcome.Unknown(String.valueOf(failure.getMessage())));
			}
			else {
				answer(detached, outcome);
			}
		}));
	}

	private Optional<Instant> deadline(Context context, Operation operation) {
		String header = context.header(DEADLINE).value("");
		if (header.isEmpty()) {
			return Optional.of(this.clock.instant().plusMillis(operation.deadlineMillis()));
		}
		try {
			long millis = Long.parseLong(header);
			return (millis < 0 || millis > MAXIMUM_DEADLINE_MILLIS) ? Optional.empty()
					: Optional.of(this.clock.instant().plusMillis(millis));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	private Context answer(Context context, RequestOutcome outcome) {
		this.metrics.counter("requests." + outcome.getClass().getSimpleName()).inc();
		if (outcome instanceof RequestOutcome.Answered answered) {
			context.setResponseCode(answered.status());
			answered.headers().forEach((header) -> {
				if (!NOT_RETURNED.contains(header.name().toLowerCase(Locale.ROOT))) {
					context.setResponseHeader(header.name(), header.value());
				}
			});
			return context.send(answered.body());
		}
		if (outcome instanceof RequestOutcome.NotRun notRun) {
			context.setResponseHeader("Retry-After", Long.toString(Math.max(1, notRun.retryAfter().toSeconds())));
			OutcomeProblems.notRun(notRun.reason()).send(context);
			return context;
		}
		Problem
			.of("unknown-outcome", "The outcome is not known", StatusCode.BAD_GATEWAY_CODE,
					"The request may have run: " + ((RequestOutcome.Unknown) outcome).detail())
			.send(context);
		return context;
	}

}
