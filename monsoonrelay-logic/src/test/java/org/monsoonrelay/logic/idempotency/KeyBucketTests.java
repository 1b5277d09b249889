package org.monsoonrelay.logic.idempotency;

import java.time.Instant;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.platform.Json;

import static org.assertj.core.api.Assertions.assertThat;

class KeyBucketTests {

	private static final Instant NOW = Instant.parse("2026-12-02T06:00:00Z");

	private static KeyRecord record(int number, Instant keepUntil) {
		return new KeyRecord("key-" + number, "fingerprint", "write-" + number, KeyState.OPEN, keepUntil,
				StoredAnswer.NONE);
	}

	private static KeyBucket bucket(int records, Instant keepUntil) {
		KeyBucket bucket = KeyBucket.EMPTY;
		for (int number = 0; number < records; number++) {
			bucket = bucket.withRecord(record(number, keepUntil), Instant.MIN).orElseThrow();
		}
		return bucket;
	}

	@Test
	void rejectsARecordWhileItIsFullOfUnexpiredRecords() {
		KeyBucket full = bucket(KeyBucket.MAXIMUM_RECORDS, NOW.plusSeconds(1));

		assertThat(full.withRecord(record(100, NOW), NOW)).isEmpty();
	}

	@Test
	void removesTheOldestRecordsOnceTheyHaveExpired() {
		KeyBucket full = bucket(KeyBucket.MAXIMUM_RECORDS, NOW);

		Optional<KeyBucket> next = full.withRecord(record(100, NOW), NOW);

		assertThat(next.orElseThrow().records()).hasSize(KeyBucket.MINIMUM_RETAINED_RECORDS + 1);
		assertThat(next.orElseThrow().find("key-0")).isEmpty();
	}

	@Test
	void retainsTheNewestRecordsWhenTheClockIsFast() {
		KeyBucket few = bucket(KeyBucket.MINIMUM_RETAINED_RECORDS, NOW);

		KeyBucket next = few.withRecord(record(100, NOW), Instant.MAX).orElseThrow();

		assertThat(next.records()).hasSize(KeyBucket.MINIMUM_RETAINED_RECORDS + 1);
	}

	@Test
	void canBeWrittenToJsonAndReadBack() {
		KeyBucket bucket = bucket(2, NOW);

		assertThat(Json.read(Json.write(bucket), KeyBucket.class).find("key-1")).isPresent();
	}

}
