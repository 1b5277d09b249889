package org.monsoonrelay.model.capacity;

/**
 * Amounts of the three resources a worker offers and a task asks for. Immutable and safe
 * to share between threads; no amount is ever negative.
 *
 * @param processors processors, in the unit of the ledger that uses them: whole ones for
 * declared workloads, thousandths for submitted jobs
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

	/**
	 * How many times this amount covers another.
	 * @param other the amount asked for
	 * @return the count, {@link Integer#MAX_VALUE} if the other amount is nothing
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
	 * Share of the scarcest resource that this amount is of a whole. A resource that the
	 * whole does not have is left out.
	 * @param whole the whole
	 * @return between 0 and 1 if the whole covers this amount
	 */
	public double smallestShareOf(Resources whole) {
		double share = Math.min(share(this.processors, whole.processors), share(this.memoryMiB, whole.memoryMiB));
		return Math.min(share, share(this.accelerators, whole.accelerators));
	}

	/**
	 * Share of the resource that this amount takes most of.
	 * @param whole the whole
	 * @return at least 0, more than 1 if the whole does not cover this amount
	 */
	public double dominantShareOf(Resources whole) {
		double processorShare = (double) this.processors / Math.max(1, whole.processors);
		double memoryShare = (double) this.memoryMiB / Math.max(1, whole.memoryMiB);
		return Math.max(Math.max(processorShare, memoryShare),
				(double) this.accelerators / Math.max(1, whole.accelerators));
	}

	/**
	 * How many times this amount covers another.
	 * @param size the other amount, not nothing
	 * @return the count
	 */
	public long fitCount(Resources size) {
		return Math.min(Math.min(times(this.processors, size.processors), times(this.memoryMiB, size.memoryMiB)),
				times(this.accelerators, size.accelerators));
	}

	/**
	 * Tell whether taking a size away would leave accelerators that nothing can use,
	 * because the processors or the memory beside them are taken.
	 * @param size what is taken, covered by this amount
	 * @param whole the whole that this amount is left of
	 * @return {@code true} if the size asks for no accelerator and the free share of
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
