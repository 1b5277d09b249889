package org.monsoonrelay.gateway;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.jooby.Context;
import io.jooby.Jooby;
import org.monsoonrelay.adapters.http.Problem;
import org.monsoonrelay.logic.routing.ForwardedRequest;
import org.monsoonrelay.model.request.NotRunReason;
import org.monsoonrelay.model.request.RequestOutcome;
import org.monsoonrelay.model.workload.Operation;
import org.monsoonrelay.model.workload.ServiceDeclaration;

/**
 * HTTP routes for callers: {@code /services/SERVICE/OPERATION}. Each request gets one
 * response: the complete response of a backend server, or a problem which states that the
 * request was not run or that its outcome is unknown. Thread-safe.
 */
final class CallerRoutes {

	private static final int MAXIMUM_DEADLINE_MILLIS = 600_000;

	private static final int MAXIMUM_KEY_LENGTH = 255;

	/** Limit for the request bodies in memory: a third of the gateway's heap. */
	static final long MAXIMUM_REQUEST_BYTES = 32 * 1024 * 1024;

	private static final long MILLIS_PER_SECOND = 1000;

	private final GatewayServices services;

	private final InstantSource clock;

	private final Supplier<String> requestIds;

	private final MetricRegistry metrics;

	private final UnknownOutcomeLog unknownOutcomes;

	private final RequestMemoryLimiter memoryLimiter = new RequestMemoryLimiter(MAXIMUM_REQUEST_BYTES);

	private final AtomicBoolean stopping = new AtomicBoolean();

	CallerRoutes(GatewayServices services, InstantSource clock, Supplier<String> requestIds, MetricRegistry metrics,
			UnknownOutcomeLog unknownOutcomes) {
		this.services = services;
		this.clock = clock;
		this.requestIds = requestIds;
		this.metrics = metrics;
		this.unknownOutcomes = unknownOutcomes;
	}

	void addTo(Jooby application) {
		String path = "/services/{service}/{operation}";
		application.get(path, this::handle);
		application.post(path, this::handle);
		application.put(path, this::handle);
		application.delete(path, this::handle);
		application.error((context, cause, status) -> sendProblem(context, this.requestIds.get(),
				Problem.of("invalid-request", "Invalid request", status.value(), "Not run: " + status.reason())));
	}

	void stop() {
		this.stopping.set(true);
	}

	private Object handle(Context context) throws Exception {
		String id = this.requestIds.get();
		String service = context.path("service").value();
		String operation = context.path("operation").value();
		Optional<ServiceDeclaration> declaration = this.services.declaration(service);
		if (this.stopping.get()) {
			return sendOutcome(context, id, notRun(NotRunReason.STOPPING));
		}
		if (declaration.isEmpty()) {
			return sendOutcome(context, id, notRun(NotRunReason.UNKNOWN_SERVICE));
		}
		Optional<Operation> declaredOperation = declaration.get()
			.operations()
			.stream()
			.filter((candidate) -> candidate.name().equals(operation))
			.findFirst();
		if (declaredOperation.isEmpty()) {
			return sendOutcome(context, id, notRun(NotRunReason.UNKNOWN_OPERATION));
		}
		return forward(context, id, service, declaredOperation.get());
	}

	private static RequestOutcome notRun(NotRunReason reason) {
		return new RequestOutcome.NotRun(reason, GatewayServices.RETRY_AFTER);
	}

	private Object forward(Context context, String id, String service, Operation operation) throws Exception {
		Optional<Instant> deadline = deadline(context, operation);
		if (deadline.isEmpty()) {
			return sendProblem(context, id, OutcomeProblems.invalid("The header " + CallerHeaders.DEADLINE
					+ " is not a number of milliseconds up to " + MAXIMUM_DEADLINE_MILLIS + "."));
		}
		Optional<String> key = context.header(CallerHeaders.IDEMPOTENCY_KEY).toOptional();
		if (key.filter((text) -> text.isBlank() || text.length() > MAXIMUM_KEY_LENGTH).isPresent()) {
			return sendProblem(context, id, OutcomeProblems.invalid("The header " + CallerHeaders.IDEMPOTENCY_KEY
					+ " is not 1 to " + MAXIMUM_KEY_LENGTH + " characters long."));
		}
		String query = context.queryString();
		ForwardedRequest request = new ForwardedRequest(id, service, operation, context.getMethod(),
				(query.startsWith("?")) ? query.substring(1) : query, CallerHeaders.toForward(context),
				context.body().bytes(), deadline.get());
		int size = request.body().length;
		if (!this.memoryLimiter.tryAcquire(size)) {
			return sendOutcome(context, id, notRun(NotRunReason.OVERLOAD));
		}
		return context.detach((detached) -> this.services.route(request, key)
			.exceptionally((failure) -> new RequestOutcome.Unknown(String.valueOf(failure.getMessage())))
			.thenAccept((outcome) -> {
				this.memoryLimiter.release(size);
				if (outcome instanceof RequestOutcome.Unknown unknown) {
					this.unknownOutcomes.log(request, unknown.detail());
				}
				sendOutcome(detached, id, outcome);
			}));
	}

	private Optional<Instant> deadline(Context context, Operation operation) {
		String header = context.header(CallerHeaders.DEADLINE).value("");
		if (header.isEmpty()) {
			return Optional.of(this.clock.instant().plusMillis(operation.deadlineMillis()));
		}
		try {
			long millis = Long.parseLong(header);
			return (millis > MAXIMUM_DEADLINE_MILLIS) ? Optional.empty()
					: Optional.of(this.clock.instant().plusMillis(Math.max(0, millis)));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	private Context sendOutcome(Context context, String id, RequestOutcome outcome) {
		this.metrics.counter("requests." + outcome.getClass().getSimpleName()).inc();
		if (outcome instanceof RequestOutcome.Answered answered) {
			context.setResponseCode(answered.status());
			CallerHeaders.copyToResponse(context, answered.headers());
			context.setResponseHeader(CallerHeaders.REQUEST_ID, id);
			return context.send(answered.body());
		}
		if (outcome instanceof RequestOutcome.NotRun notRun) {
			if (notRun.retryAfter().compareTo(Duration.ZERO) > 0) {
				context.setResponseHeader("Retry-After", Long.toString(roundedUpSeconds(notRun.retryAfter())));
			}
			return sendProblem(context, id, OutcomeProblems.notRun(notRun.reason()));
		}
		return sendProblem(context, id, OutcomeProblems.unknown(((RequestOutcome.Unknown) outcome).detail()));
	}

	private static long roundedUpSeconds(Duration wait) {
		return Math.max(1, (wait.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
	}

	private static Context sendProblem(Context context, String id, Problem problem) {
		context.setResponseHeader(CallerHeaders.REQUEST_ID, id);
		problem.withInstance(id).send(context);
		return context;
	}

}
