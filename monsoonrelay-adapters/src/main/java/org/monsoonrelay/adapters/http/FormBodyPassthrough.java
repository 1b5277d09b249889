package org.monsoonrelay.adapters.http;

import java.util.Locale;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Prevents Jooby from parsing form bodies, because Jooby returns only parts of a parsed
 * form. The content type of a form is moved to a private header, so that the body is
 * passed on unchanged. Stateless and thread-safe.
 */
public final class FormBodyPassthrough {

	/** Private header that carries the content type of a form body. */
	public static final String HIDDEN_CONTENT_TYPE = "Monsoonrelay-Hidden-Content-Type";

	private FormBodyPassthrough() {
	}

	/**
	 * Moves the content type of a form body to the private header. Other bodies keep
	 * their content type. A value of the private header that a client sent is removed.
	 * @param headers the request headers
	 */
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
