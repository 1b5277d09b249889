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
import org.monsoonrelay.model.control.ControlHead;
import org.monsoonrelay.model.control.ControlState;
import org.monsoonrelay.model.control.EditKind;
import org.monsoonrelay.model.control.EditRecord;

/**
 * Accepts operators' edits: the state goes to the object store under its digest, then one
 * transaction writes the head and the entry of the audit trail. The head's row decides
 * between edits that race. A lost answer is settled by reading the entry back.
 * Thread-safe; keeps no state of its own.
 */
public final class ControlLog {

	private static final int MAXIMUM_TRIES = 12;

	private static final String OBJECT_PREFIX = "control/";

	private final TableService table;

	private final ObjectStore objects;

	private final InstantSource clock;

	private final CellTextParser parser = new CellTextParser();

	public ControlLog(TableService table, ObjectStore objects, InstantSource clock) {
		this.table = table;
		this.objects = objects;
		this.clock = clock;
	}

	/**
	 * Submit an edit.
	 * @param edit the edit
	 * @return what became of it; never fails
	 */
	public CompletableFuture<EditOutcome> submit(Edit edit) {
		if (edit.kind() == EditKind.APPLY) {
			CheckedText checked = this.parser.parse(edit.text());
			if (checked.text().isEmpty()) {
				return CompletableFuture.completedFuture(new EditOutcome.Invalid(checked.faults()));
			}
		}
		return attempt(edit, MAXIMUM_TRIES).exceptionally(ControlLog::unavailable);
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
			.thenApply((content) -> content.map((text) -> Json.read(text, ControlState.class))
				.orElseThrow(() -> new PlatformException("object is missing: " + head.stateDigest(), false, null)));
	}

	/**
	 * Read a page of the audit trail.
	 * @param afterVersion the version after which to begin
	 * @param limit the most entries to return
	 * @return the entries, oldest first
	 */
	public CompletableFuture<List<EditRecord>> audit(long afterVersion, int limit) {
		return this.table.scan(TableKeys.EDITS, TableKeys.edit(afterVersion), limit)
			.thenApply((rows) -> rows.stream().map((row) -> Json.read(row.value(), EditRecord.class)).toList());
	}

	private CompletableFuture<EditOutcome> attempt(Edit edit, int triesLeft) {
		return this.table.read(TableKeys.HEAD).thenCompose((row) -> {
			ControlHead head = row.map(ControlLog::headOf).orElse(ControlHead.NONE);
			long rowVersion = row.map(Row::version).orElse(ConditionalWrite.ABSENT);
			return state(head).thenCompose((state) -> build(edit, triesLeft, head, rowVersion, state));
		});
	}

	private CompletableFuture<EditOutcome> build(Edit edit, int triesLeft, ControlHead head, long rowVersion,
			ControlState state) {
		if (head.editId().equals(edit.editId())) {
			return CompletableFuture.completedFuture(new EditOutcome.Accepted(head.version()));
		}
		OptionalLong expected = edit.expectedTextVersion();
		if (expected.isPresent() && expected.getAsLong() != state.textVersion()) {
			return conflict(edit, state.textVersion());
		}
		ControlState next = next(edit, head.version() + 1, state);
		if (edit.kind() != EditKind.APPLY && next.equals(state)) {
			return CompletableFuture.completedFuture(new EditOutcome.Accepted(head.version()));
		}
		return write(edit, triesLeft, head, rowVersion, next);
	}

	private static ControlState next(Edit edit, long version, ControlState state) {
		Set<String> targets = new TreeSet<>(edit.targets());
		return switch (edit.kind()) {
			case APPLY -> state.withText(edit.text(), version);
			case CANCEL -> state.withCancelled(targets);
			case STOP -> state.withStopped(targets);
		};
	}

	private CompletableFuture<EditOutcome> write(Edit edit, int triesLeft, ControlHead head, long rowVersion,
			ControlState next) {
		String content = Json.write(next);
		String digest = Digest.of(content);
		ControlHead newHead = new ControlHead(head.version() + 1, digest, edit.editId());
		EditRecord entry = new EditRecord(newHead.version(), edit.editId(), edit.kind(), edit.operator(),
				this.clock.instant(), edit.targets(), digest);
		List<ConditionalWrite> writes = List.of(new ConditionalWrite(TableKeys.HEAD, Json.write(newHead), rowVersion),
				new ConditionalWrite(TableKeys.edit(newHead.version()), Json.write(entry), ConditionalWrite.ABSENT));
		return this.objects.put(OBJECT_PREFIX + digest, content)
			.thenCompose((stored) -> this.table.commit(writes))
			.handle((result, failure) -> settle(edit, triesLeft, newHead, result, failure))
			.thenCompose((outcome) -> outcome);
	}

	private CompletableFuture<EditOutcome> settle(Edit edit, int triesLeft, ControlHead head, CommitResult result,
			Throwable failure) {
		if (result instanceof CommitResult.Committed) {
			return CompletableFuture.completedFuture(new EditOutcome.Accepted(head.version()));
		}
		if (result != null) {
			return retry(edit, triesLeft);
		}
		return this.table.read(TableKeys.edit(head.version())).handle((row, unread) -> {
			if (unread != null) {
				return CompletableFuture.<EditOutcome>completedFuture(
						new EditOutcome.Unsettled("the answer was lost and the table cannot be read back"));
			}
			boolean ours = row.map((found) -> Json.read(found.value(), EditRecord.class).editId())
				.filter(edit.editId()::equals)
				.isPresent();
			return ours ? CompletableFuture.<EditOutcome>completedFuture(new EditOutcome.Accepted(head.version()))
					: CompletableFuture.<EditOutcome>completedFuture(unavailable(failure));
		}).thenCompose((outcome) -> outcome);
	}

	private CompletableFuture<EditOutcome> retry(Edit edit, int triesLeft) {
		if (triesLeft <= 1) {
			return CompletableFuture.completedFuture(new EditOutcome.Unavailable("other edits kept coming first"));
		}
		return attempt(edit, triesLeft - 1);
	}

	private CompletableFuture<EditOutcome> conflict(Edit edit, long textVersion) {
		return this.table.read(TableKeys.edit(textVersion)).thenApply((row) -> {
			Optional<EditRecord> winner = row.map((found) -> Json.read(found.value(), EditRecord.class));
			if (winner.filter((record) -> record.editId().equals(edit.editId())).isPresent()) {
				return new EditOutcome.Accepted(textVersion);
			}
			return winner.<EditOutcome>map(EditOutcome.Conflict::new)
				.orElseGet(() -> new EditOutcome.Unavailable("the text in force has version " + textVersion));
		});
	}

	private static EditOutcome unavailable(Throwable failure) {
		Throwable cause = (failure.getCause() != null) ? failure.getCause() : failure;
		return new EditOutcome.Unavailable("nothing was changed: " + cause.getMessage());
	}

	private static ControlHead headOf(Row row) {
		return Json.read(row.value(), ControlHead.class);
	}

}
