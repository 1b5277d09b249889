package org.monsoonrelay.model.capacity;

/**
 * Amounts of processors, memory and accelerators that a worker offers or a task requires.
 * Amounts are never negative. Immutable and thread-safe.
 *
 * @param processors processors; whole processors for declared workloads, thousandths of a
 * processor for submitted jobs
 * @param memoryMiB memory in mebibytes
 * @param accelerators whole accelerators
 */
public record Resources(int processors, long memoryMiB, int accelerators) {

	/**
	 * Zero of each resource.
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
	 * Whether this amount covers another in every component.
	 * @param other the required amount
	 * @return {@code true} if each component is at least the other's
	 */
	public boolean covers(Resources other) {
		return this.processors >= other.processors && this.memoryMiB >= other.memoryMiB
				&& this.accelerators >= other.accelerators;
	}

	/**
	 * Number of times that another amount fits into this one.
	 * @param other the required amount
	 * @return the count, {@link Integer#MAX_VALUE} if the required amount is zero
	 */
	public int timesCovering(Resources other) {
		long times = Integer.MAX_VALUE;
		if (other.processors > 0) {
			times = Math.min(times, this.processors / other.processors);
		}
		if (other.memoryMiB > 0) {
			times = Math.min(times, this.memoryMiB / other.memoryMiB);
		}
		if (other.accelerators > 0) {
			times = Math.min(times, this.accelerators / other.accelerators);
		}
		return (int) times;
	}

	/**
	 * Smallest share of any resource of a total that this amount has. Resources that the
	 * total lacks are ignored.
	 * @param whole the total amount
	 * @return between 0 and 1 if the total covers this amount
	 */
	public double smallestShareOf(Resources whole) {
		double share = Math.min(share(this.processors, whole.processors), share(this.memoryMiB, whole.memoryMiB));
		return Math.min(share, share(this.accelerators, whole.accelerators));
	}

	/**
	 * Dominant share: the largest share of any resource of a total that this amount has.
	 * @param whole the total amount
	 * @return at least 0, more than 1 if the total does not cover this amount
	 */
	public double dominantShareOf(Resources whole) {
		double processorShare = (double) this.processors / Math.max(1, whole.processors);
		double memoryShare = (double) this.memoryMiB / Math.max(1, whole.memoryMiB);
		return Math.max(Math.max(processorShare, memoryShare),
				(double) this.accelerators / Math.max(1, whole.accelerators));
	}

	/**
	 * Number of times that a size fits into this amount.
	 * @param size the size, not zero
	 * @return the count
	 */
	public long fitCount(Resources size) {
		return Math.min(Math.min(times(this.processors, size.processors), times(this.memoryMiB, size.memoryMiB)),
				times(this.accelerators, size.accelerators));
	}

	/**
	 * Whether allocating a size would strand accelerators, because too few processors or
	 * too little memory would be left to use them.
	 * @param size size to allocate, covered by this amount
	 * @param whole total capacity of which this amount is free
	 * @return {@code true} if the size includes no accelerator and the free share of
	 * processors or memory would fall below that of the accelerators
	 */
	public boolean wouldStrandAccelerators(Resources size, Resources whole) {
		if (size.accelerators > 0 || this.accelerators == 0) {
			return false;
		}
		double left = Math.min(share(this.processors - size.processors, whole.processors),
				share(this.memoryMiB - size.memoryMiB, whole.memoryMiB));
		return left < share(this.accelerators, whole.accelerators);
	}

	private static double share(long part, long whole) {
		return (whole > 0) ? (double) part / whole : 1;
	}

	private static long times(long whole, long part) {
		return (part > 0) ? whole / part : Integer.MAX_VALUE;
	}

}
