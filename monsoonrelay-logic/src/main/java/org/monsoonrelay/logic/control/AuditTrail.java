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
 * The audit trail in the platform's table. Invariant: entries are only added, each under
 * a key that must not exist before. Thread-safe; keeps no state of its own.
 */
public final class AuditTrail {

	private static final int SCANNED_ROWS = 500;

	private static final int MAXIMUM_SCANS = 20;

	private final TableService table;

	public AuditTrail(TableService table) {
		this.table = table;
	}

	/**
	 * The write that adds the entry of an accepted edit.
	 * @param entry the entry
	 * @return the write, for the edit's own transaction
	 */
	static ConditionalWrite acceptedEntry(EditRecord entry) {
		return new ConditionalWrite(TableKeys.edit(entry.version()), Json.write(entry), ConditionalWrite.ABSENT);
	}

	/**
	 * Add the entry of an edit that was turned down, as far as the table can be reached.
	 * @param entry the entry
	 * @return completes, never exceptionally, when it is written or cannot be
	 */
	CompletableFuture<Void> recordRejected(EditRecord entry) {
		String key = TableKeys.rejectedEdit(entry.version(), entry.editId());
		return this.table.commit(List.of(new ConditionalWrite(key, Json.write(entry), ConditionalWrite.ABSENT)))
			.handle((result, failure) -> null);
	}

	/**
	 * Read a page.
	 * @param query which entries
	 * @return the page; it may hold fewer entries than the limit and still have a next
	 * one
	 */
	public CompletableFuture<AuditPage> page(AuditQuery query) {
		return scan(query, startOf(query.after()), new ArrayList<>(), MAXIMUM_SCANS);
	}

	private static String startOf(String after) {
		boolean version = !after.isEmpty() && after.chars().allMatch(Character::isDigit);
		if (version) {
			return TableKeys.edit(Long.parseLong(after));
		}
		return after.isEmpty() ? "" : TableKeys.EDITS + after;
	}

	private CompletableFuture<AuditPage> scan(AuditQuery query, String after, List<EditRecord> found, int scansLeft) {
		return this.table.scan(TableKeys.EDITS, after, SCANNED_ROWS).thenCompose((rows) -> {
			String last = after;
			for (Row row : rows) {
				if (found.size() == query.limit()) {
					return page(found, last);
				}
				last = row.key();
				EditRecord entry = Json.read(row.value(), EditRecord.class);
				if (query.matches(entry)) {
					found.add(entry);
				}
			}
			if (rows.size() < SCANNED_ROWS) {
				return page(found, TableKeys.EDITS);
			}
			return (scansLeft > 1) ? scan(query, last, found, scansLeft - 1) : page(found, last);
		});
	}

	private static CompletableFuture<AuditPage> page(List<EditRecord> found, String last) {
		return CompletableFuture.completedFuture(new AuditPage(found, last.substring(TableKeys.EDITS.length())));
	}

}
