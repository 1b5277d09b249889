package org.monsoonrelay.logic.idempotency;

import java.time.Instant;

/**
 * Stored record of one idempotency key. Immutable.
 *
 * @param key digest of the service and the idempotency key
 * @param fingerprint digest of the content of the request that the key belongs to
 * @param writeId identifier of the request that reserved the key; it identifies the own
 * reservation if the response to the write was lost
 * @param state the state of the request
 * @param keepUntil earliest time at which the record may be removed
 * @param answer the response, or {@link StoredAnswer#NONE} if none is stored
 */
public record KeyRecord(String key, String fingerprint, String writeId, KeyState state, Instant keepUntil,
		StoredAnswer answer) {

	static KeyRecord reserved(RequestKey key, String writeId, Instant keepUntil) {
		return new KeyRecord(key.digest(), key.fingerprint(), writeId, KeyState.OPEN, keepUntil, StoredAnswer.NONE);
	}

	KeyRecord withAnswer(StoredAnswer complete, int maximumSize) {
		boolean stored = complete.size() <= maximumSize;
		return new KeyRecord(this.key, this.fingerprint, this.writeId,
				stored ? KeyState.ANSWERED : KeyState.ANSWER_NOT_KEPT, this.keepUntil,
				stored ? complete : StoredAnswer.NONE);
	}

}
