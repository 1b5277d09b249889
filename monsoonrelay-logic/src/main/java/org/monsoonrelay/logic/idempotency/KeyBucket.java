package org.monsoonrelay.logic.idempotency;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;

/**
 * The keys that share one row of the table, oldest first. The number of rows is fixed, so
 * no row ever has to be deleted: records whose time is over make room for new ones.
 * Invariants: a key stands in it once; the newest records stay whatever the clock says,
 * so that a clock that runs ahead does not forget keys of the last requests. Immutable.
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
	 * Add a record unless too many are still kept.
	 * @param added the record
	 * @param now the present time
	 * @return the bucket with the record, or empty if it is full
	 */
	Optional<KeyBucket> withRecord(KeyRecord added, Instant now) {
		List<KeyRecord> next = new ArrayList<>();
		int surplus = this.records.size() - MINIMUM_RETAINED_RECORDS;
		for (KeyRecord record : this.records) {
			if (surplus-- <= 0 || now.isBefore(record.keepUntil())) {
				next.add(record);
			}
		}
		next.add(added);
		return (next.size() <= MAXIMUM_RECORDS) ? Optional.of(new KeyBucket(next)) : Optional.empty();
	}

	KeyBucket withoutRecord(String writeId) {
		return new KeyBucket(this.records.stream().filter((record) -> !record.writeId().equals(writeId)).toList());
	}

	KeyBucket withUpdatedRecord(String writeId, UnaryOperator<KeyRecord> change) {
		return new KeyBucket(this.records.stream()
			.map((record) -> record.writeId().equals(writeId) ? change.apply(record) : record)
			.toList());
	}

}
