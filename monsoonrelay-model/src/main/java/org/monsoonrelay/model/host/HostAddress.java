package org.monsoonrelay.model.host;

/**
 * An IP address with a port. Immutable.
 *
 * @param host the IP address
 * @param port the port, 1 to 65535
 */
public record HostAddress(String host, int port) {

	private static final int MAXIMUM_PORT = 65535;

	public HostAddress {
		if (host.isBlank() || port < 1 || port > MAXIMUM_PORT) {
			throw new IllegalArgumentException("not an address: " + host + ":" + port);
		}
	}

	/**
	 * Parse the form {@code host:port}.
	 * @param text the text
	 * @return the address
	 * @throws IllegalArgumentException if the text has another form
	 */
	public static HostAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		if (colon <= 0) {
			throw new IllegalArgumentException("not an address (host:port): " + text);
		}
		try {
			return new HostAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("not an address (host:port): " + text, ex);
		}
	}

	/**
	 * Base URL of this address.
	 * @return the URL without a trailing slash
	 */
	public String url() {
		return "http://" + this;
	}

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
