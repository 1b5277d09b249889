package org.monsoonrelay.logic.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.logic.platform.ConditionalWrite;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.Row;
import org.monsoonrelay.logic.platform.TableKeys;
import org.monsoonrelay.logic.platform.TableService;
import org.monsoonrelay.model.control.EditRecord;

/**
 * The audit trail in the platform's table. Invariant: entries are append-only, each
 * written on condition that its key does not exist. Stateless and thread-safe.
 */
public final class AuditTrail {

	private static final int ROWS_PER_SCAN = 500;

	private static final int MAX_SCANS_PER_PAGE = 20;

	private final TableService table;

	public AuditTrail(TableService table) {
		this.table = table;
	}

	/**
	 * Create the write that appends the entry of an accepted edit.
	 * @param entry the entry
	 * @return the write, to be included in the transaction of the edit
	 */
	static ConditionalWrite acceptedEntry(EditRecord entry) {
		return new ConditionalWrite(TableKeys.edit(entry.version()), Json.write(entry), ConditionalWrite.ABSENT);
	}

	/**
	 * Append the entry of a rejected edit on a best-effort basis.
	 * @param entry the entry
	 * @return completes, never exceptionally, when the entry is written or the write
	 * failed
	 */
	CompletableFuture<Void> recordRejected(EditRecord entry) {
		String key = TableKeys.rejectedEdit(entry.version(), entry.editId());
		return this.table.commit(List.of(new ConditionalWrite(key, Json.write(entry), ConditionalWrite.ABSENT)))
			.handle((result, failure) -> null);
	}

	/**
	 * Read a page.
	 * @param query selects the entries
	 * @return the page; it may contain fewer entries than the limit although a next page
	 * exists
	 */
	public CompletableFuture<AuditPage> page(AuditQuery query) {
		return scan(query, startKey(query.after()), new ArrayList<>(), MAX_SCANS_PER_PAGE);
	}

	private static String startKey(String after) {
		boolean isVersion = !after.isEmpty() && after.chars().allMatch(Character::isDigit);
		if (isVersion) {
			return TableKeys.edit(Long.parseLong(after));
		}
		return after.isEmpty() ? "" : TableKeys.EDITS + after;
	}

	private CompletableFuture<AuditPage> scan(AuditQuery query, String after, List<EditRecord> matches,
			int remainingScans) {
		return this.table.scan(TableKeys.EDITS, after, ROWS_PER_SCAN).thenCompose((rows) -> {
			String lastKey = after;
			for (Row row : rows) {
				if (matches.size() == query.limit()) {
					return page(matches, lastKey);
				}
				lastKey = row.key();
				EditRecord entry = Json.read(row.value(), EditRecord.class);
				if (query.matches(entry)) {
					matches.add(entry);
				}
			}
			if (rows.size() < ROWS_PER_SCAN) {
				return page(matches, TableKeys.EDITS);
			}
			return (remainingScans > 1) ? scan(query, lastKey, matches, remainingScans - 1) : page(matches, lastKey);
		});
	}

	private static CompletableFuture<AuditPage> page(List<EditRecord> matches, String lastKey) {
		return CompletableFuture.completedFuture(new AuditPage(matches, lastKey.substring(TableKeys.EDITS.length())));
	}

}
