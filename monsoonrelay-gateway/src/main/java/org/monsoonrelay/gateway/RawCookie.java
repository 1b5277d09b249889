package org.monsoonrelay.gateway;

import io.jooby.Cookie;

/**
 * A {@code Set-Cookie} line that is forwarded unchanged from the backend server. Not
 * thread-safe: used by one response.
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
