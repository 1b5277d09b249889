package org.monsoonrelay.gateway;

import io.jooby.Cookie;

/**
 * A {@code Set-Cookie} line passed on as the backend server wrote it. Not thread-safe:
 * used by one answer.
 */
final class RawCookie extends Cookie {

	private final String line;

	RawCookie(String line) {
		super(line, "");
		this.line = line;
	}

	@Override
	public String toCookieString() {
		return this.line;
	}

}
