package org.monsoonrelay.logic.idempotency;

import java.nio.charset.StandardCharsets;

import org.monsoonrelay.logic.control.Digest;
import org.monsoonrelay.logic.platform.TableKeys;
import org.monsoonrelay.logic.routing.ForwardedRequest;

/**
 * Idempotency key of a caller together with the request that it identifies. Keys are
 * scoped to a service. Immutable.
 *
 * @param row key of the table row that holds the record
 * @param digest digest of the service and the idempotency key
 * @param fingerprint digest of the content of the request, used to detect that a key is
 * reused for a different request
 */
record RequestKey(String row, String digest, String fingerprint) {

	private static final int BUCKET_HEX_DIGITS = 4;

	private static final String SEPARATOR = "\n";

	static RequestKey of(String key, ForwardedRequest request) {
		String digest = Digest.of(request.service() + SEPARATOR + key);
		String row = TableKeys.REQUEST_KEYS + request.service() + "/" + digest.substring(0, BUCKET_HEX_DIGITS);
		String body = new String(request.body(), StandardCharsets.ISO_8859_1);
		String fingerprint = Digest
			.of(String.join(SEPARATOR, request.operation().name(), request.method(), request.query(), body));
		return new RequestKey(row, digest, fingerprint);
	}

}
