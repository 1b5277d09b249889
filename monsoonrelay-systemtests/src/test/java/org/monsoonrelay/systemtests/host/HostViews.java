package org.monsoonrelay.systemtests.host;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;

/**
 * The rows of the table as hosts see them that have an address of the platform for
 * themselves: all workers at that address, or that of the relay before it, so that it
 * tells whose requests they are, and other hosts where the host is to reach them.
 * Thread-safe.
 */
final class HostViews {

	/** Table of the workers. */
	static final String WORKERS = "servers";

	private final String ip;

	private final int port;

	private final Map<Integer, String> relays = new ConcurrentHashMap<>();

	private final Map<Integer, UnaryOperator<String>> peers = new ConcurrentHashMap<>();

	HostViews(String ip, int port) {
		this.ip = ip;
		this.port = port;
	}

	/**
	 * Show the workers at a relay's address.
	 * @param asked the port that is asked
	 * @param relayIp where the relay listens, with the same port
	 */
	void addRelay(int asked, String relayIp) {
		this.relays.put(asked, relayIp);
	}

	/**
	 * Show the addresses of other hosts differently.
	 * @param asked the port that is asked
	 * @param view from the text of a row to that which is shown
	 */
	void addPeerView(int asked, UnaryOperator<String> view) {
		this.peers.put(asked, view);
	}

	/**
	 * Show an answer.
	 * @param asked the port that was asked
	 * @param answer the answer, {@code null} for none
	 * @return it as seen there
	 */
	Answer seenAt(int asked, Answer answer) {
		if (answer == null || asked == this.port || !(answer.body() instanceof TableFake.Rows rows)) {
			return answer;
		}
		return new Answer(answer.code(), rows.withValues(
				(row) -> Optional.ofNullable(row.value()).map((value) -> seenAt(asked, row, value)).orElse(null)));
	}

	private String seenAt(int asked, TableFake.Row row, String value) {
		String text = new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8);
		String seen = row.table().equals(WORKERS)
				? text.replace(this.ip + ":" + this.port, this.relays.getOrDefault(asked, this.ip) + ":" + asked)
				: this.peers.getOrDefault(asked, UnaryOperator.identity()).apply(text);
		return encode(seen);
	}

	static String encode(String value) {
		return Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
	}

}
