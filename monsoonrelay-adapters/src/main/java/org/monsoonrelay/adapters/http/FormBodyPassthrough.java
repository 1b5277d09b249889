package org.monsoonrelay.adapters.http;

import java.util.Locale;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Keeps the bodies of forms whole: Jooby takes them apart and gives only parts of them
 * back, so their type is hidden from it. Stateless and thread-safe.
 */
public final class FormBodyPassthrough {

	/** Header under which the type of a form's body is hidden. */
	public static final String HIDDEN_CONTENT_TYPE = "Monsoonrelay-Hidden-Content-Type";

	private FormBodyPassthrough() {
	}

	static void hideContentType(HttpHeaders headers) {
		headers.remove(HIDDEN_CONTENT_TYPE);
		String type = Optional.ofNullable(headers.get(HttpHeaderNames.CONTENT_TYPE)).orElse("");
		String lower = type.toLowerCase(Locale.ROOT);
		if (lower.startsWith("multipart/form-data") || lower.startsWith("application/x-www-form-urlencoded")) {
			headers.remove(HttpHeaderNames.CONTENT_TYPE);
			headers.set(HIDDEN_CONTENT_TYPE, type);
		}
	}

}
