package org.monsoonrelay.scheduler;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.StatusCode;
import org.monsoonrelay.adapters.http.Problem;
import org.monsoonrelay.adapters.logging.LogFields;
import org.monsoonrelay.adapters.operator.CellStatus;
import org.monsoonrelay.adapters.operator.EditReply;
import org.monsoonrelay.adapters.operator.EditRequest;
import org.monsoonrelay.adapters.operator.StateMessage;
import org.monsoonrelay.logic.control.ActiveControlState;
import org.monsoonrelay.logic.control.AuditQuery;
import org.monsoonrelay.logic.control.ControlLog;
import org.monsoonrelay.logic.control.ControlTracker;
import org.monsoonrelay.logic.control.ControlVersion;
import org.monsoonrelay.logic.control.Edit;
import org.monsoonrelay.logic.control.EditOutcome;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.control.ControlHead;
import org.monsoonrelay.model.control.ControlState;
import org.monsoonrelay.model.control.EditKind;

/**
 * HTTP routes for operators. Every route requires an operator's credential. Thread-safe.
 */
final class OperatorRoutes {

	private static final System.Logger LOGGER = System.getLogger(OperatorRoutes.class.getName());

	private static final int MAXIMUM_PAGE_SIZE = 500;

	private final OperatorAccess access;

	private final ControlLog log;

	private final ControlTracker tracker;

	private final Supplier<CompletableFuture<CellStatus>> status;

	OperatorRoutes(OperatorAccess access, ControlLog log, ControlTracker tracker,
			Supplier<CompletableFuture<CellStatus>> status) {
		this.access = access;
		this.log = log;
		this.tracker = tracker;
		this.status = status;
	}

	void addTo(Jooby application) {
		application.post("/operator/edits", (context) -> withOperator(context, this::submitEdit));
		application.get("/operator/state",
				(context) -> withOperator(context, (operator, call) -> respond(call, currentState())));
		application.get("/operator/status",
				(context) -> withOperator(context, (operator, call) -> respond(call, this.status.get())));
		application.get("/operator/audit", (context) -> withOperator(context,
				(operator, call) -> respond(call, this.log.audit(auditQuery(call)))));
		application.error((context, cause, code) -> Problem
			.of("invalid-request", "Invalid request", code.value(), String.valueOf(cause.getMessage()))
			.send(context));
	}

	private Object withOperator(Context context, OperatorAction action) throws Exception {
		Optional<String> operator = this.access.authenticate(context.header("Authorization").value(""));
		if (operator.isEmpty()) {
			LOGGER.log(System.Logger.Level.WARNING,
					"rejected request of {0} at {1}: operator credential is missing or wrong",
					context.getRemoteAddress(), context.getRequestPath());
			Problem
				.of("unauthorized", "Unauthorized", StatusCode.UNAUTHORIZED_CODE,
						"The operator's credential is missing or wrong.")
				.send(context);
			return context;
		}
		return action.run(operator.get(), context);
	}

	private static AuditQuery auditQuery(Context call) {
		int limit = Math.max(1, Math.min(MAXIMUM_PAGE_SIZE, call.query("limit").intValue(MAXIMUM_PAGE_SIZE)));
		return new AuditQuery(call.query("after").value(""), call.query("operator").toOptional(),
				call.query("kind").toOptional().map(EditKind::valueOf), limit);
	}

	private Object submitEdit(String operator, Context context) throws Exception {
		EditRequest request = Json.read(context.body().value(), EditRequest.class);
		OptionalLong expectedTextVersion = (request.expectedTextVersion() != null)
				? OptionalLong.of(request.expectedTextVersion()) : OptionalLong.empty();
		LogFields.of(LogFields.OPERATOR, operator)
			.run(() -> LOGGER.log(System.Logger.Level.INFO, "edit {0} submitted: {1}", request.editId(),
					request.kind()));
		Edit edit = new Edit(request.editId(), request.kind(), operator, request.text(), request.targets(),
				expectedTextVersion);
		return respond(context, this.log.submit(edit).thenApply(OperatorRoutes::toReply));
	}

	private static EditReply toReply(EditOutcome outcome) {
		if (outcome instanceof EditOutcome.Accepted accepted) {
			return new EditReply(EditReply.Outcome.ACCEPTED, accepted.version(), null, List.of(), "");
		}
		if (outcome instanceof EditOutcome.Conflict conflict) {
			return new EditReply(EditReply.Outcome.CONFLICT, 0, conflict.winner(), List.of(), "");
		}
		if (outcome instanceof EditOutcome.Invalid invalid) {
			return new EditReply(EditReply.Outcome.INVALID, 0, null, invalid.faults(), "");
		}
		if (outcome instanceof EditOutcome.Unsettled unsettled) {
			return new EditReply(EditReply.Outcome.UNSETTLED, 0, null, List.of(), unsettled.detail());
		}
		return new EditReply(EditReply.Outcome.UNAVAILABLE, 0, null, List.of(),
				((EditOutcome.Unavailable) outcome).detail());
	}

	private CompletableFuture<StateMessage> currentState() {
		return this.log.head()
			.thenCompose(this::loadVersion)
			.exceptionally((failure) -> inForceVersion())
			.thenApply((version) -> {
				ControlState state = version.state();
				return new StateMessage(version.head().version(), state.textVersion(), state.text(),
						state.stopped().stream().sorted().toList());
			});
	}

	private CompletableFuture<ControlVersion> loadVersion(ControlHead head) {
		return (head.version() <= this.tracker.activeState().head().version())
				? CompletableFuture.completedFuture(inForceVersion())
				: this.log.state(head).thenApply((state) -> new ControlVersion(head, state));
	}

	private ControlVersion inForceVersion() {
		ActiveControlState current = this.tracker.activeState();
		return new ControlVersion(current.head(), current.state());
	}

	private static Object respond(Context context, CompletableFuture<?> value) throws Exception {
		return context.detach((detached) -> value.whenComplete((result, failure) -> {
			if (failure != null) {
				Problem
					.of("platform-unavailable", "The platform did not answer", StatusCode.SERVICE_UNAVAILABLE_CODE,
							String.valueOf(failure.getMessage()))
					.send(detached);
				return;
			}
			detached.setResponseHeader("Content-Type", "application/json");
			detached.send(Json.write(result));
		}));
	}

	/**
	 * Handler of a route, called after the operator is authenticated.
	 */
	private interface OperatorAction {

		Object run(String operator, Context context) throws Exception;

	}

}
