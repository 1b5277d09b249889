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
 * Accepts operators' edits: the state goes to the object store under its digest, then one
 * transaction writes the head, the entry of the audit trail and a row under the edit's
 * identity. Invariants: the head's row decides between edits that race; an edit takes
 * effect at most once, however often and through however many hosts it is submitted,
 * because the row under its identity must not exist before; nothing is called not made
 * while a write of it may still arrive. Thread-safe; keeps no state of its own.
 * <p>
 * A lost answer needs no special reading: the next try reads the head and then the row
 * under the identity. Once the head has moved, an earlier write can no longer land, and
 * if it landed before, that row is there. Objects are named by their content and put
 * again before each commit, so that the store may delete those that no head has named for
 * longer than a try takes.
 */
public final class ControlLog {

	private static final int MAXIMUM_TRIES = 12;

	private static final int MAXIMUM_DOUBTFUL_TRIES = 2;

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
	 * Submit an edit. Idempotent by the edit's identity.
	 * @param edit the edit
	 * @return what became of it; never fails
	 */
	public CompletableFuture<EditOutcome> submit(Edit edit) {
		if (edit.kind() == EditKind.APPLY) {
			CheckedText checked = this.parser.parse(edit.text());
			if (checked.text().isEmpty()) {
				return head().thenCompose((head) -> refuse(edit, head, checked.faults()))
					.exceptionally((failure) -> new EditOutcome.Invalid(checked.faults()));
			}
		}
		return attempt(edit, new Tries(MAXIMUM_TRIES, false));
	}

	/**
	 * Read the head.
	 * @return the head, {@link ControlHead#NONE} before the first edit
	 */
	public CompletableFuture<ControlHead> head() {
		return this.table.read(TableKeys.HEAD).thenApply((row) -> row.map(ControlLog::headOf).orElse(ControlHead.NONE));
	}

	/**
	 * Fetch the state that a head names.
	 * @param head the head
	 * @return the state
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
	 * @param query which entries
	 * @return the page
	 */
	public CompletableFuture<AuditPage> audit(AuditQuery query) {
		return this.trail.page(query);
	}

	private CompletableFuture<EditOutcome> attempt(Edit edit, Tries tries) {
		return this.table.read(TableKeys.HEAD)
			.thenCompose((head) -> this.table.read(TableKeys.editId(edit.editId()))
				.thenCompose(
						(own) -> own.map((row) -> accepted(headOf(row))).orElseGet(() -> decide(edit, tries, head))))
			.exceptionally((failure) -> notMade(tries, cause(failure).getMessage()));
	}

	private CompletableFuture<EditOutcome> decide(Edit edit, Tries tries, Optional<Row> row) {
		ControlHead head = row.map(ControlLog::headOf).orElse(ControlHead.NONE);
		long rowVersion = row.map(Row::version).orElse(ConditionalWrite.ABSENT);
		return state(head).thenCompose((state) -> decide(edit, tries, new Present(head, rowVersion, state)));
	}

	private CompletableFuture<EditOutcome> decide(Edit edit, Tries tries, Present present) {
		OptionalLong expected = edit.expectedTextVersion();
		long textVersion = present.state().textVersion();
		if (expected.isPresent() && expected.getAsLong() != textVersion) {
			boolean staleRead = expected.getAsLong() > textVersion;
			return (staleRead && tries.left() > 1) ? attempt(edit, tries.next()) : conflict(edit, present);
		}
		List<TextFault> faults = new TargetCheck(present.state(), this.parser.parseAccepted(present.state().text()))
			.faults(edit.kind(), edit.targets());
		if (!faults.isEmpty()) {
			return refuse(edit, present.head(), faults);
		}
		ControlState next = next(edit, present.head().version() + 1, present.state());
		if (edit.kind() != EditKind.APPLY && next.equals(present.state())) {
			return accepted(present.head());
		}
		return write(edit, tries, present, next);
	}

	private static ControlState next(Edit edit, long version, ControlState state) {
		Set<String> targets = new TreeSet<>(edit.targets());
		return switch (edit.kind()) {
			case APPLY -> state.withText(edit.text(), version);
			case CANCEL -> state.withCancelled(targets);
			case STOP -> state.withStopped(targets);
		};
	}

	private CompletableFuture<EditOutcome> write(Edit edit, Tries tries, Present present, ControlState next) {
		String content = CompressedState.compress(next);
		ControlHead head = new ControlHead(present.head().version() + 1, Digest.of(content), edit.editId());
		List<ConditionalWrite> writes = List.of(
				new ConditionalWrite(TableKeys.HEAD, Json.write(head), present.rowVersion()),
				AuditTrail.acceptedEntry(entry(edit, head, EditResult.ACCEPTED)),
				new ConditionalWrite(TableKeys.editId(edit.editId()), Json.write(head), ConditionalWrite.ABSENT));
		return this.objects.put(OBJECT_PREFIX + head.stateDigest(), content)
			.thenCompose((stored) -> this.table.commit(writes)
				.handle((result, failure) -> settle(edit, tries, head, result, failure))
				.thenCompose((outcome) -> outcome));
	}

	private CompletableFuture<EditOutcome> settle(Edit edit, Tries tries, ControlHead head, CommitResult result,
			Throwable failure) {
		if (result instanceof CommitResult.Committed) {
			return accepted(head);
		}
		if (result != null) {
			return (tries.left() > 1) ? attempt(edit, tries.next())
					: CompletableFuture.completedFuture(notMade(tries, "other edits kept coming first"));
		}
		boolean certain = cause(failure) instanceof PlatformException platform && !platform.mayHaveTakenEffect();
		Tries doubtful = certain ? tries : tries.inDoubt();
		return (!certain && doubtful.left() > 0) ? attempt(edit, doubtful)
				: CompletableFuture.completedFuture(notMade(doubtful, cause(failure).getMessage()));
	}

	private CompletableFuture<EditOutcome> conflict(Edit edit, Present present) {
		long textVersion = present.state().textVersion();
		return this.table.read(TableKeys.edit(textVersion)).thenCompose((row) -> {
			if (row.isEmpty()) {
				return CompletableFuture
					.completedFuture(new EditOutcome.Unavailable("no text of the expected version is in force"));
			}
			EditRecord winner = Json.read(row.get().value(), EditRecord.class);
			return this.trail.recordRejected(entry(edit, present.head(), EditResult.CONFLICT))
				.thenApply((done) -> new EditOutcome.Conflict(winner));
		});
	}

	private CompletableFuture<EditOutcome> refuse(Edit edit, ControlHead head, List<TextFault> faults) {
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

	private static EditOutcome notMade(Tries tries, String reason) {
		return tries.doubt()
				? new EditOutcome.Unsettled("an answer was lost and the table cannot be read back: " + reason)
				: new EditOutcome.Unavailable("nothing was changed: " + reason);
	}

	private static Throwable cause(Throwable failure) {
		return (failure.getCause() != null) ? failure.getCause() : failure;
	}

	private static ControlHead headOf(Row row) {
		return Json.read(row.value(), ControlHead.class);
	}

	/**
	 * What an edit is decided against.
	 */
	private record Present(ControlHead head, long rowVersion, ControlState state) {

	}

	/**
	 * How often an edit may be tried yet, and whether an earlier write of it may still
	 * take effect.
	 */
	private record Tries(int left, boolean doubt) {

		Tries next() {
			return new Tries(this.left - 1, this.doubt);
		}

		Tries inDoubt() {
			return new Tries(this.doubt ? this.left - 1 : MAXIMUM_DOUBTFUL_TRIES, true);
		}

	}

}
