package org.monsoonrelay.logic.customers;

import java.util.List;
import java.util.Optional;

import org.monsoonrelay.model.customer.ApiKey;

/**
 * The key that came with a request, or why none is readable. Holds the digest only.
 * Immutable.
 *
 * @param key the key, empty if there is none that could belong to a customer
 * @param fault what is wrong with it, empty if there is a key; never quotes the key
 */
public record PresentedKey(Optional<ApiKey> key, String fault) {

	/** Longest key, characters; longer ones are not worth a digest. */
	static final int MAX_LENGTH = 1024;

	private static final char FIRST_VISIBLE = '!';

	private static final char LAST_VISIBLE = '~';

	/**
	 * Reads a key from the values of its header.
	 * @param values the values, one for each time that the header occurs
	 * @return the key or its fault
	 */
	public static PresentedKey of(List<String> values) {
		if (values.isEmpty() || (values.size() == 1 && values.get(0).isEmpty())) {
			return faulty("the key is missing");
		}
		if (values.size() > 1) {
			return faulty("more than one key");
		}
		String value = values.get(0);
		if (value.length() > MAX_LENGTH) {
			return faulty("the key is too long");
		}
		if (!value.chars().allMatch((character) -> character >= FIRST_VISIBLE && character <= LAST_VISIBLE)) {
			return faulty("the key has characters other than visible ASCII ones");
		}
		return new PresentedKey(Optional.of(ApiKey.of(value)), "");
	}

	private static PresentedKey faulty(String fault) {
		return new PresentedKey(Optional.empty(), fault);
	}

}
