package org.monsoonrelay.logic.pool;

import java.util.Collection;
import java.util.Comparator;

/**
 * The processors and network bandwidth that a host may use, as reported by the platform.
 * Stored as JSON. Immutable.
 *
 * @param processors number of processors, possibly fractional; 0 if not reported
 * @param linkMbps bandwidth of its link, megabits per second; 0 if not reported
 */
public record HostSize(double processors, double linkMbps) {

	/** The size of a host that reported nothing. */
	static final HostSize UNKNOWN = new HostSize(0, 0);

	/**
	 * Minimum share of the largest host's processors and bandwidth for a host to count as
	 * large: the work of an owner then takes at most twice as long. A host with a quarter
	 * of the processors could not take over 245 workers and renew its row at the same
	 * time.
	 */
	static final double MIN_LARGE_SHARE = 0.5;

	/**
	 * Whether a host of this size can own the pool as well as a host of another size.
	 * @param other the other size
	 * @return {@code true} if neither processors nor bandwidth are far smaller
	 */
	boolean isLargeComparedTo(HostSize other) {
		return this.processors >= MIN_LARGE_SHARE * other.processors
				&& this.linkMbps >= MIN_LARGE_SHARE * other.linkMbps;
	}

	/**
	 * Returns the size of the best balanced host: the one whose smaller share of the
	 * maximum processors and of the maximum bandwidth is the greatest. It is the size of
	 * an existing host, so that at least that host counts as large.
	 * @param sizes the sizes of hosts
	 * @return the largest of them, {@link #UNKNOWN} if there are none
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

	private static double share(double part, double maximum) {
		return (maximum > 0) ? part / maximum : 1;
	}

}
