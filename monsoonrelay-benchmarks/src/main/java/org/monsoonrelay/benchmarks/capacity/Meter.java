package org.monsoonrelay.benchmarks.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.management.ThreadMXBean;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import java.util.function.IntToDoubleFunction;

/**
 * Measures heap that stays reachable and processor time of the calling thread. To be used
 * by one thread at a time, because the heap is the whole process's.
 */
final class Meter {

	private static final MemoryMXBean MEMORY = ManagementFactory.getMemoryMXBean();

	private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

	/** The serial collector compacts the old generation fully each fourth time only. */
	private static final int COLLECTIONS = 4;

	private Meter() {
	}

	/**
	 * Heap that an object of growing size keeps reachable, in bytes.
	 * @param sizes the sizes
	 * @param build builds the object
	 * @return the slope over the sizes
	 */
	static Slope heap(int[] sizes, IntFunction<Object> build) {
		heapOf(sizes[0], build);
		return over(sizes, (size) -> heapOf(size, build));
	}

	// The object is held by this method's frame alone: a variable that is dead but not
	// yet overwritten would keep the object of the size before reachable.
	private static double heapOf(int size, IntFunction<Object> build) {
		long before = usedHeap();
		Object kept = build.apply(size);
		long used = usedHeap() - before;
		Reference.reachabilityFence(kept);
		return used;
	}

	/**
	 * Heap in use after garbage collection.
	 * @return bytes
	 */
	static long usedHeap() {
		for (int count = 0; count < COLLECTIONS; count++) {
			MEMORY.gc();
		}
		return MEMORY.getHeapMemoryUsage().getUsed();
	}

	/**
	 * Processor time that some work of this thread takes, in nanoseconds.
	 * @param work the work
	 * @return nanoseconds
	 */
	static long processorNanos(Runnable work) {
		long before = THREADS.getCurrentThreadCpuTime();
		work.run();
		return THREADS.getCurrentThreadCpuTime() - before;
	}

	/**
	 * Measure at several sizes.
	 * @param sizes the sizes
	 * @param measure measures at one size
	 * @return the slope over the sizes
	 */
	static Slope over(int[] sizes, IntToDoubleFunction measure) {
		List<Point> points = new ArrayList<>();
		for (int size : sizes) {
			points.add(new Point(size, measure.applyAsDouble(size)));
		}
		return Slope.through(points);
	}

	/**
	 * The least of several measurements, because what disturbs one only adds to it.
	 * @param times how many
	 * @param measure one measurement
	 * @return the least
	 */
	static double least(int times, IntToDoubleFunction measure) {
		double least = Double.MAX_VALUE;
		for (int round = 0; round < times; round++) {
			least = Math.min(least, measure.applyAsDouble(round));
		}
		return least;
	}

}
