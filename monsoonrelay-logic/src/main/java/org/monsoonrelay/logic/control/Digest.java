package org.monsoonrelay.logic.control;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes digests that name objects by their content. Stateless and thread-safe.
 */
public final class Digest {

	private Digest() {
	}

	/**
	 * Compute the SHA-256 digest of a text in UTF-8.
	 * @param text the text
	 * @return the digest in lower-case hexadecimal
	 */
	public static String of(String text) {
		try {
			MessageDigest sha = MessageDigest.getInstance("SHA-256");
			return HexFormat.of().formatHex(sha.digest(text.getBytes(StandardCharsets.UTF_8)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is part of every Java platform", ex);
		}
	}

}
