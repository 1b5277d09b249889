package org.monsoonrelay.logic.idempotency;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;

/**
 * Idempotency key records that share one row of the table, oldest first. The number of
 * rows is fixed, so rows are never deleted; expired records are removed when new ones are
 * added. Invariants: each key occurs at most once; the newest records are retained
 * regardless of the clock, so that a gateway whose clock is fast does not remove the keys
 * of recent requests. Immutable.
 *
 * @param records the records
 */
public record KeyBucket(List<KeyRecord> records) {

	static final KeyBucket EMPTY = new KeyBucket(List.of());

	static final int MINIMUM_RETAINED_RECORDS = 8;

	static final int MAXIMUM_RECORDS = 32;

	public KeyBucket {
		records = List.copyOf(records);
	}

	Optional<KeyRecord> find(String key) {
		return this.records.stream().filter((record) -> record.key().equals(key)).findFirst();
	}

	/**
	 * Return a bucket with a record added and expired records removed.
	 * @param added the record
	 * @param now the current time
	 * @return the new bucket, or empty if there are too many records that have not
	 * expired
	 */
	Optional<KeyBucket> withRecord(KeyRecord added, Instant now) {
		List<KeyRecord> retained = new ArrayList<>();
		int removable = this.records.size() - MINIMUM_RETAINED_RECORDS;
		for (KeyRecord record : this.records) {
			if (removable-- <= 0 || now.isBefore(record.keepUntil())) {
				retained.add(record);
			}
		}
		retained.add(added);
		return (retained.size() <= MAXIMUM_RECORDS) ? Optional.of(new KeyBucket(retained)) : Optional.empty();
	}

	KeyBucket withoutRecord(String writeId) {
		return new KeyBucket(this.records.stream().filter((record) -> !record.writeId().equals(writeId)).toList());
	}

	KeyBucket withUpdatedRecord(String writeId, UnaryOperator<KeyRecord> update) {
		return new KeyBucket(this.records.stream()
			.map((record) -> record.writeId().equals(writeId) ? update.apply(record) : record)
			.toList());
	}

}
