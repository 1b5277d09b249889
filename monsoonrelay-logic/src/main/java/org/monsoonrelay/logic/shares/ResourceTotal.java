package org.monsoonrelay.logic.shares;

import org.monsoonrelay.model.capacity.Resources;

/**
 * A sum of resources over a whole pool, which may exceed the range of the resources of a
 * single worker. Immutable.
 *
 * @param processors thousandths of a processor
 * @param memoryMiB memory, mebibytes
 * @param accelerators whole accelerators
 */
public record ResourceTotal(long processors, long memoryMiB, long accelerators) {

	/** Nothing. */
	public static final ResourceTotal NONE = new ResourceTotal(0, 0, 0);

	/**
	 * Adds a number of equal amounts, which may be negative.
	 * @param size the amount
	 * @param count how often it is added
	 * @return the sum
	 */
	public ResourceTotal plus(Resources size, long count) {
		return new ResourceTotal(this.processors + count * size.processors(), this.memoryMiB + count * size.memoryMiB(),
				this.accelerators + count * size.accelerators());
	}

	/**
	 * Adds another sum.
	 * @param other the other sum
	 * @return the sum of both
	 */
	public ResourceTotal plus(ResourceTotal other) {
		return new ResourceTotal(this.processors + other.processors, this.memoryMiB + other.memoryMiB,
				this.accelerators + other.accelerators);
	}

	/**
	 * Returns the smaller amount of each resource.
	 * @param other the other sum
	 * @return the smaller amounts
	 */
	public ResourceTotal atMost(ResourceTotal other) {
		return new ResourceTotal(Math.min(this.processors, other.processors), Math.min(this.memoryMiB, other.memoryMiB),
				Math.min(this.accelerators, other.accelerators));
	}

	/**
	 * Returns whether a limit is kept. A resource whose limit is 0 is not limited.
	 * @param limit the limit
	 * @return {@code true} if no limited resource exceeds it
	 */
	public boolean isWithin(Resources limit) {
		return isWithin(this.processors, limit.processors()) && isWithin(this.memoryMiB, limit.memoryMiB())
				&& isWithin(this.accelerators, limit.accelerators());
	}

	private static boolean isWithin(long amount, long limit) {
		return limit == 0 || amount <= limit;
	}

	/**
	 * Returns the largest share of any resource of a whole that this sum has. Resources
	 * that the whole lacks are ignored.
	 * @param whole the whole
	 * @return the dominant share, 0 or more
	 */
	public double dominantShareOf(ResourceTotal whole) {
		return Math.max(share(this.processors, whole.processors),
				Math.max(share(this.memoryMiB, whole.memoryMiB), share(this.accelerators, whole.accelerators)));
	}

	private static double share(long part, long whole) {
		return (whole > 0) ? (double) part / whole : 0;
	}

	/**
	 * Returns whether this sum is nothing.
	 * @return {@code true} if all amounts are 0
	 */
	public boolean isNone() {
		return this.processors == 0 && this.memoryMiB == 0 && this.accelerators == 0;
	}

}
