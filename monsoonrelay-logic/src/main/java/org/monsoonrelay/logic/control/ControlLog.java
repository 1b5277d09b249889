package org.monsoonrelay.logic.control;

import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.logic.platform.CommitResult;
import org.monsoonrelay.logic.platform.ConditionalWrite;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.ObjectStore;
import org.monsoonrelay.logic.platform.PlatformException;
import org.monsoonrelay.logic.platform.Row;
import org.monsoonrelay.logic.platform.TableKeys;
import org.monsoonrelay.logic.platform.TableService;
import org.monsoonrelay.logic.text.CellTextParser;
import org.monsoonrelay.logic.text.CheckedText;
import org.monsoonrelay.logic.text.TextFault;
import org.monsoonrelay.model.control.ControlHead;
import org.monsoonrelay.model.control.ControlState;
import org.monsoonrelay.model.control.EditKind;
import org.monsoonrelay.model.control.EditRecord;
import org.monsoonrelay.model.control.EditResult;

/**
 * Accepts operators' edits of the control state. The new state is stored in the object
 * store under its digest; then one transaction writes the head, the entry of the audit
 * trail and a row under the edit id. Invariants: concurrent edits are ordered by
 * conditional writes of the head row; an edit takes effect at most once, however often
 * and through however many hosts it is submitted, because the row under its edit id must
 * not exist before; an edit is not reported as without effect while one of its writes may
 * still take effect. Stateless and thread-safe.
 * <p>
 * A lost answer needs no special handling: the next attempt reads the head and then the
 * row under the edit id. Once the head has changed, an earlier write can no longer take
 * effect, and if it took effect before, that row exists. Objects are named by their
 * content and stored again before each commit, so that the store may delete objects that
 * no head has referenced for longer than an attempt takes.
 */
public final class ControlLog {

	private static final int MAX_ATTEMPTS = 12;

	private static final int MAX_ATTEMPTS_AFTER_LOST_ANSWER = 2;

	private static final String OBJECT_PREFIX = "control/";

	private final TableService table;

	private final ObjectStore objects;

	private final InstantSource clock;

	private final AuditTrail trail;

	private final CellTextParser parser = new CellTextParser();

	public ControlLog(TableService table, ObjectStore objects, InstantSource clock) {
		this.table = table;
		this.objects = objects;
		this.clock = clock;
		this.trail = new AuditTrail(table);
	}

	/**
	 * Submit an edit. Idempotent by edit id.
	 * @param edit the edit
	 * @return the outcome, never failing
	 */
	public CompletableFuture<EditOutcome> submit(Edit edit) {
		if (edit.kind() == EditKind.APPLY) {
			CheckedText checked = this.parser.parse(edit.text());
			if (checked.text().isEmpty()) {
				return head().thenCompose((head) -> reject(edit, head, checked.faults()))
					.exceptionally((failure) -> new EditOutcome.Invalid(checked.faults()));
			}
		}
		return attempt(edit, new RemainingAttempts(MAX_ATTEMPTS, false));
	}

	/**
	 * Read the head.
	 * @return the head, {@link ControlHead#NONE} before the first edit
	 */
	public CompletableFuture<ControlHead> head() {
		return this.table.read(TableKeys.HEAD)
			.thenApply((row) -> row.map(ControlLog::parseHead).orElse(ControlHead.NONE));
	}

	/**
	 * Fetch the state that a head refers to.
	 * @param head the head
	 * @return the state; fails with {@link PlatformException} if its object is missing
	 */
	public CompletableFuture<ControlState> state(ControlHead head) {
		if (head.version() == 0) {
			return CompletableFuture.completedFuture(ControlState.NONE);
		}
		return this.objects.get(OBJECT_PREFIX + head.stateDigest())
			.thenApply((content) -> content.map(CompressedState::decompress)
				.orElseThrow(() -> new PlatformException("object is missing: " + head.stateDigest(), false, null)));
	}

	/**
	 * Read a page of the audit trail.
	 * @param query selects the entries
	 * @return the page
	 */
	public CompletableFuture<AuditPage> audit(AuditQuery query) {
		return this.trail.page(query);
	}

	private CompletableFuture<EditOutcome> attempt(Edit edit, RemainingAttempts attempts) {
		return this.table.read(TableKeys.HEAD)
			.thenCompose((head) -> this.table.read(TableKeys.editId(edit.editId()))
				.thenCompose((acceptedRow) -> acceptedRow.map((row) -> accepted(parseHead(row)))
					.orElseGet(() -> decide(edit, attempts, head))))
			.exceptionally((failure) -> failureOutcome(attempts, cause(failure).getMessage()));
	}

	private CompletableFuture<EditOutcome> decide(Edit edit, RemainingAttempts attempts, Optional<Row> row) {
		ControlHead head = row.map(ControlLog::parseHead).orElse(ControlHead.NONE);
		long rowVersion = row.map(Row::version).orElse(ConditionalWrite.ABSENT);
		return state(head).thenCompose((state) -> decide(edit, attempts, new CurrentState(head, rowVersion, state)));
	}

	private CompletableFuture<EditOutcome> decide(Edit edit, RemainingAttempts attempts, CurrentState current) {
		OptionalLong expected = edit.expectedTextVersion();
		long textVersion = current.state().textVersion();
		if (expected.isPresent() && expected.getAsLong() != textVersion) {
			boolean isStaleRead = expected.getAsLong() > textVersion;
			return (isStaleRead && attempts.count() > 1) ? attempt(edit, attempts.next()) : conflict(edit, current);
		}
		List<TextFault> faults = new TargetCheck(current.state(), this.parser.parseAccepted(current.state().text()))
			.faults(edit.kind(), edit.targets());
		if (!faults.isEmpty()) {
			return reject(edit, current.head(), faults);
		}
		ControlState next = next(edit, current.head().version() + 1, current.state());
		if (edit.kind() != EditKind.APPLY && next.equals(current.state())) {
			return accepted(current.head());
		}
		return write(edit, attempts, current, next);
	}

	private static ControlState next(Edit edit, long version, ControlState state) {
		Set<String> targets = new TreeSet<>(edit.targets());
		return switch (edit.kind()) {
			case APPLY -> state.withText(edit.text(), version);
			case CANCEL -> state.withCancelled(targets);
			case STOP -> state.withStopped(targets);
		};
	}

	private CompletableFuture<EditOutcome> write(Edit edit, RemainingAttempts attempts, CurrentState current,
			ControlState next) {
		String content = CompressedState.compress(next);
		ControlHead head = new ControlHead(current.head().version() + 1, Digest.of(content), edit.editId());
		List<ConditionalWrite> writes = List.of(
				new ConditionalWrite(TableKeys.HEAD, Json.write(head), current.rowVersion()),
				AuditTrail.acceptedEntry(entry(edit, head, EditResult.ACCEPTED)),
				new ConditionalWrite(TableKeys.editId(edit.editId()), Json.write(head), ConditionalWrite.ABSENT));
		return this.objects.put(OBJECT_PREFIX + head.stateDigest(), content)
			.thenCompose((stored) -> this.table.commit(writes)
				.handle((result, failure) -> handleCommitResult(edit, attempts, head, result, failure))
				.thenCompose((outcome) -> outcome));
	}

	private CompletableFuture<EditOutcome> handleCommitResult(Edit edit, RemainingAttempts attempts, ControlHead head,
			CommitResult result, Throwable failure) {
		if (result instanceof CommitResult.Committed) {
			return accepted(head);
		}
		if (result != null) {
			return (attempts.count() > 1) ? attempt(edit, attempts.next())
					: CompletableFuture.completedFuture(failureOutcome(attempts, "other edits kept coming first"));
		}
		boolean knownNotApplied = cause(failure) instanceof PlatformException platform
				&& !platform.mayHaveTakenEffect();
		RemainingAttempts remaining = knownNotApplied ? attempts : attempts.afterLostAnswer();
		return (!knownNotApplied && remaining.count() > 0) ? attempt(edit, remaining)
				: CompletableFuture.completedFuture(failureOutcome(remaining, cause(failure).getMessage()));
	}

	private CompletableFuture<EditOutcome> conflict(Edit edit, CurrentState current) {
		long textVersion = current.state().textVersion();
		return this.table.read(TableKeys.edit(textVersion)).thenCompose((row) -> {
			if (row.isEmpty()) {
				return CompletableFuture
					.completedFuture(new EditOutcome.Unavailable("no text of the expected version is in force"));
			}
			EditRecord winner = Json.read(row.get().value(), EditRecord.class);
			return this.trail.recordRejected(entry(edit, current.head(), EditResult.CONFLICT))
				.thenApply((done) -> new EditOutcome.Conflict(winner));
		});
	}

	private CompletableFuture<EditOutcome> reject(Edit edit, ControlHead head, List<TextFault> faults) {
		return this.trail.recordRejected(entry(edit, head, EditResult.REFUSED))
			.thenApply((done) -> new EditOutcome.Invalid(faults));
	}

	private EditRecord entry(Edit edit, ControlHead head, EditResult result) {
		return new EditRecord(head.version(), edit.editId(), edit.kind(), edit.operator(), this.clock.instant(),
				edit.targets(), head.stateDigest(), result);
	}

	private static CompletableFuture<EditOutcome> accepted(ControlHead head) {
		return CompletableFuture.completedFuture(new EditOutcome.Accepted(head.version()));
	}

	private static EditOutcome failureOutcome(RemainingAttempts attempts, String reason) {
		return attempts.outcomeUnknown()
				? new EditOutcome.Unsettled("an answer was lost and the table cannot be read back: " + reason)
				: new EditOutcome.Unavailable("nothing was changed: " + reason);
	}

	private static Throwable cause(Throwable failure) {
		return (failure.getCause() != null) ? failure.getCause() : failure;
	}

	private static ControlHead parseHead(Row row) {
		return Json.read(row.value(), ControlHead.class);
	}

	/**
	 * The control state that an edit is checked against.
	 */
	private record CurrentState(ControlHead head, long rowVersion, ControlState state) {

	}

	/**
	 * The number of remaining attempts of an edit, and whether the outcome of an earlier
	 * write of it is unknown.
	 */
	private record RemainingAttempts(int count, boolean outcomeUnknown) {

		RemainingAttempts next() {
			return new RemainingAttempts(this.count - 1, this.outcomeUnknown);
		}

		RemainingAttempts afterLostAnswer() {
			return new RemainingAttempts(this.outcomeUnknown ? this.count - 1 : MAX_ATTEMPTS_AFTER_LOST_ANSWER, true);
		}

	}

}
