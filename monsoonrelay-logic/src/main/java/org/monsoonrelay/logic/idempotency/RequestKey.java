package org.monsoonrelay.logic.idempotency;

import java.nio.charset.StandardCharsets;

import org.monsoonrelay.logic.control.Digest;
import org.monsoonrelay.logic.platform.TableKeys;
import org.monsoonrelay.logic.routing.ForwardedRequest;

/**
 * A caller's key and the request it stands for. Keys belong to a service. Immutable.
 *
 * @param row key of the row that holds it
 * @param digest digest of service and key
 * @param fingerprint digest of what is asked for
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
