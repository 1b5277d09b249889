package org.monsoonrelay.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.jooby.Context;
import org.monsoonrelay.adapters.http.FormBodyPassthrough;
import org.monsoonrelay.adapters.platform.HttpBackendClient;
import org.monsoonrelay.model.request.RequestOutcome.HeaderLine;

/**
 * Copies headers between callers and backend servers, except those that belong to a
 * single connection. Stateless and thread-safe.
 */
final class CallerHeaders {

	/**
	 * Header with the remaining time until the deadline of the caller, in milliseconds
	 * from the arrival of the request.
	 */
	static final String DEADLINE = "Monsoonrelay-Deadline-Ms";

	/** Header with the idempotency key of a request that is not repeatable. */
	static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	/** Header with the request id that the gateway assigns. */
	static final String REQUEST_ID = HttpBackendClient.REQUEST_ID;

	private static final String SET_COOKIE = "set-cookie";

	private static final Set<String> NOT_FORWARDED = lowerCase("Host", "Connection", "Content-Length",
			"Transfer-Encoding", "Keep-Alive", "Upgrade", "TE", "Trailer", "Expect", "Proxy-Connection", DEADLINE,
			REQUEST_ID);

	private static final Set<String> NOT_RETURNED = lowerCase("Connection", "Content-Length", "Transfer-Encoding",
			"Keep-Alive", "Upgrade", "Trailer", "Date", REQUEST_ID);

	private CallerHeaders() {
	}

	private static Set<String> lowerCase(String... names) {
		return Set.of(String.join(" ", names).toLowerCase(Locale.ROOT).split(" "));
	}

	static List<HeaderLine> toForward(Context context) {
		List<HeaderLine> headers = new ArrayList<>();
		context.header().toMultimap().forEach((name, values) -> {
			if (!NOT_FORWARDED.contains(name.toLowerCase(Locale.ROOT))) {
				String forwardedName = name.equalsIgnoreCase(FormBodyPassthrough.HIDDEN_CONTENT_TYPE) ? "Content-Type"
						: name;
				values.forEach((value) -> headers.add(new HeaderLine(forwardedName, decodeUtf8(value))));
			}
		});
		return headers;
	}

	private static String decodeUtf8(String value) {
		// The server decodes each byte as one character; the client encodes as UTF-8.
		return new String(value.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
	}

	static void copyToResponse(Context context, List<HeaderLine> headers) {
		Map<String, List<String>> valuesByName = new LinkedHashMap<>();
		for (HeaderLine header : headers) {
			String name = header.name().toLowerCase(Locale.ROOT);
			if (name.equals(SET_COOKIE)) {
				context.setResponseCookie(new RawCookie(header.value()));
			}
			else if (!NOT_RETURNED.contains(name)) {
				valuesByName.computeIfAbsent(name, (missing) -> new ArrayList<>()).add(header.value());
			}
		}
		valuesByName.forEach((name, values) -> context.setResponseHeader(name, encodeUtf8(String.join(", ", values))));
	}

	private static String encodeUtf8(String value) {
		return new String(value.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
	}

}
