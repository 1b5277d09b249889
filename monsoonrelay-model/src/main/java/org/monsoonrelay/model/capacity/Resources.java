package org.monsoonrelay.model.capacity;

/**
 * Amounts of the three resources a worker offers and a task asks for. Immutable and safe
 * to share between threads; no amount is ever negative.
 *
 * @param processors whole processors
 * @param memoryMiB memory in mebibytes
 * @param accelerators whole accelerators
 */
public record Resources(int processors, long memoryMiB, int accelerators) {

	/**
	 * Nothing at all.
	 */
	public static final Resources NONE = new Resources(0, 0, 0);

	public Resources {
		if (processors < 0 || memoryMiB < 0 || accelerators < 0) {
			throw new IllegalArgumentException(
					"negative resources: " + processors + ", " + memoryMiB + ", " + accelerators);
		}
	}

	/**
	 * Add two amounts.
	 * @param other the amount to add
	 * @return the sum
	 * @throws ArithmeticException if a component overflows
	 */
	public Resources plus(Resources other) {
		return new Resources(Math.addExact(this.processors, other.processors),
				Math.addExact(this.memoryMiB, other.memoryMiB), Math.addExact(this.accelerators, other.accelerators));
	}

	/**
	 * Subtract an amount that this one covers.
	 * @param other the amount to take away
	 * @return the remainder
	 * @throws IllegalArgumentException if the other amount is not covered
	 */
	public Resources minus(Resources other) {
		return new Resources(this.processors - other.processors, this.memoryMiB - other.memoryMiB,
				this.accelerators - other.accelerators);
	}

	/**
	 * Multiply by a count.
	 * @param count how many times
	 * @return the product
	 */
	public Resources times(int count) {
		return new Resources(Math.multiplyExact(this.processors, count), Math.multiplyExact(this.memoryMiB, count),
				Math.multiplyExact(this.accelerators, count));
	}

	/**
	 * Tell whether this amount covers another in every component.
	 * @param other the amount asked for
	 * @return {@code true} if each component is at least the other's
	 */
	public boolean covers(Resources other) {
		return this.processors >= other.processors && this.memoryMiB >= other.memoryMiB
				&& this.accelerators >= other.accelerators;
	}

}
