package org.monsoonrelay.logic.pool;

import java.util.Collection;
import java.util.Comparator;

/**
 * What a host may use of processors and of the network, as the platform told it.
 * Immutable.
 *
 * @param processors whole processors and shares of one; 0 if not told
 * @param linkMbps what its link carries, megabits a second; 0 if not told
 */
public record HostSize(double processors, double linkMbps) {

	/** The size of a host of which nothing is known. */
	static final HostSize UNKNOWN = new HostSize(0, 0);

	/**
	 * Share of the largest host's processors and link from which a host counts as large:
	 * it takes twice as long at most over what an owner does. One with a quarter of the
	 * processors could not take in 245 workers and renew its row meanwhile.
	 */
	static final double MIN_LARGE_SHARE = 0.5;

	/**
	 * Whether a host of this size may own a pool as well as one of another size.
	 * @param other the other size
	 * @return {@code true} if neither processors nor link are far smaller
	 */
	boolean isLargeComparedTo(HostSize other) {
		return this.processors >= MIN_LARGE_SHARE * other.processors
				&& this.linkMbps >= MIN_LARGE_SHARE * other.linkMbps;
	}

	/**
	 * The size of the host that has least to fear of being short of one of the two, which
	 * one host has: it counts as large itself.
	 * @param sizes the sizes of hosts
	 * @return the largest of them, unknown if there are none
	 */
	static HostSize largest(Collection<HostSize> sizes) {
		double processors = sizes.stream().mapToDouble(HostSize::processors).max().orElse(0);
		double link = sizes.stream().mapToDouble(HostSize::linkMbps).max().orElse(0);
		return sizes.stream()
			.max(Comparator
				.comparingDouble(
						(HostSize size) -> Math.min(share(size.processors, processors), share(size.linkMbps, link)))
				.thenComparingDouble(HostSize::processors)
				.thenComparingDouble(HostSize::linkMbps))
			.orElse(UNKNOWN);
	}

	private static double share(double part, double most) {
		return (most > 0) ? part / most : 1;
	}

}
