package org.monsoonrelay.benchmarks.capacity;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * The straight line of least squares through measurements at three sizes or more.
 * Immutable.
 *
 * @param points the measurements
 * @param base value of the line at size 0
 * @param perUnit what one more unit of size adds
 */
record Slope(List<Point> points, double base, double perUnit) {

	private static final int MINIMUM_POINTS = 3;

	Slope {
		points = List.copyOf(points);
	}

	/**
	 * Fit the line.
	 * @param points the measurements, at three different sizes or more
	 * @return the line
	 */
	static Slope through(List<Point> points) {
		if (points.stream().map(Point::size).distinct().count() < MINIMUM_POINTS) {
			throw new IllegalArgumentException("a slope needs three sizes, not " + points);
		}
		double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
		double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
		double together = 0;
		double spread = 0;
		for (Point point : points) {
			together += (point.size() - meanSize) * (point.value() - meanValue);
			spread += (point.size() - meanSize) * (point.size() - meanSize);
		}
		double perUnit = together / spread;
		return new Slope(points, meanValue - perUnit * meanSize, perUnit);
	}

	/**
	 * Value of the line at a size.
	 * @param size the size
	 * @return the value
	 */
	double at(double size) {
		return this.base + this.perUnit * size;
	}

	/**
	 * The largest distance of a measurement from the line, as a share of the largest
	 * measurement: near 0 where cost grows in proportion.
	 * @return the share
	 */
	double misfit() {
		double largest = this.points.stream().mapToDouble((point) -> Math.abs(point.value())).max().orElse(0);
		double distance = this.points.stream()
			.mapToDouble((point) -> Math.abs(point.value() - at(point.size())))
			.max()
			.orElse(0);
		return (largest != 0) ? distance / largest : 0;
	}

	@Override
	public String toString() {
		String measured = this.points.stream()
			.map((point) -> String.format(Locale.ROOT, "%.0f:%.4g", point.size(), point.value()))
			.collect(Collectors.joining(" "));
		return String.format(Locale.ROOT, "%.4g each, %.4g at 0, misfit %.0f %% (%s)", this.perUnit, this.base,
				100 * misfit(), measured);
	}

}
