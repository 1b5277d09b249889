package org.monsoonrelay.logic.customers;

import java.util.function.BooleanSupplier;

/**
 * Permission of a request, which may end before the request does. Implementations of the
 * supplier are thread-safe and do not block. Immutable.
 *
 * @param caller on whose behalf the request acts
 * @param validity whether the permission still holds, asked right before an effect
 */
public record CallerPermit(Caller caller, BooleanSupplier validity) {

	/** Permission where no customers are configured. */
	public static final CallerPermit UNRESTRICTED = new CallerPermit(Caller.UNRESTRICTED, () -> true);

	/**
	 * Whether the request may still take effect.
	 * @return {@code false} if the key has been removed, or may have been
	 */
	public boolean isValid() {
		return this.validity.getAsBoolean();
	}

}
