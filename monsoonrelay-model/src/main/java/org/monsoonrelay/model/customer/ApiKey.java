package org.monsoonrelay.model.customer;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A key by which callers prove for which customer they act. Holds only a digest, so that
 * neither a log line nor a dump of the memory shows the key. Immutable.
 *
 * @param digest SHA-256 digest of the key, hexadecimal
 */
public record ApiKey(String digest) {

	/**
	 * Creates the digest of a key.
	 * @param key the key as callers send it
	 * @return the key's digest
	 */
	public static ApiKey of(String key) {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
			return new ApiKey(HexFormat.of().formatHex(digest));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

	@Override
	public String toString() {
		return "ApiKey[...]";
	}

}
