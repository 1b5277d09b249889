package org.monsoonrelay.logic.idempotency;

import java.time.Instant;

/**
 * One recorded key. Immutable.
 *
 * @param key digest of the key
 * @param fingerprint digest of the request that the key belongs to
 * @param writeId identity of the request that reserved the key, by which a reservation
 * whose answer was lost is recognized
 * @param state what is known of the request
 * @param keepUntil until when the key is kept at least
 * @param answer the answer, if it is kept
 */
public record KeyRecord(String key, String fingerprint, String writeId, KeyState state, Instant keepUntil,
		StoredAnswer answer) {

	static KeyRecord reserved(RequestKey key, String writeId, Instant keepUntil) {
		return new KeyRecord(key.digest(), key.fingerprint(), writeId, KeyState.OPEN, keepUntil, StoredAnswer.NONE);
	}

	KeyRecord withAnswer(StoredAnswer whole, int maximumSize) {
		boolean kept = whole.size() <= maximumSize;
		return new KeyRecord(this.key, this.fingerprint, this.writeId,
				kept ? KeyState.ANSWERED : KeyState.ANSWER_NOT_KEPT, this.keepUntil, kept ? whole : StoredAnswer.NONE);
	}

}
