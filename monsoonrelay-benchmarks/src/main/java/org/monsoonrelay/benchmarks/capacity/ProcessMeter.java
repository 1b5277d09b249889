package org.monsoonrelay.benchmarks.capacity;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Reads what the system counts of one process under {@code /proc}. Stateless.
 */
final class ProcessMeter {

	/** Ticks a second of the processor times in {@code /proc/PID/stat} on Linux. */
	private static final double TICKS_A_SECOND = 100;

	private static final int USER_TIME = 11;

	private static final int SYSTEM_TIME = 12;

	private static final int CHILDREN_USER_TIME = 13;

	private static final int CHILDREN_SYSTEM_TIME = 14;

	private ProcessMeter() {
	}

	/**
	 * Read a process's counts.
	 * @param pid the process
	 * @return the counts up to now
	 */
	static Usage read(long pid) {
		Path folder = Path.of("/proc", Long.toString(pid));
		try {
			double processor = processorSeconds(folder, USER_TIME, SYSTEM_TIME);
			List<String> io = Files.readAllLines(folder.resolve("io"));
			List<String> status = Files.readAllLines(folder.resolve("status"));
			return new Usage(processor, number(io, "rchar:"), number(io, "wchar:"), number(status, "VmRSS:") / 1024.0);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Processor time of all children of this process that have ended.
	 * @return seconds
	 */
	static double endedChildrenSeconds() {
		try {
			return processorSeconds(Path.of("/proc/self"), CHILDREN_USER_TIME, CHILDREN_SYSTEM_TIME);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static double processorSeconds(Path folder, int first, int second) throws IOException {
		String stat = Files.readString(folder.resolve("stat"));
		String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
		return (Long.parseLong(fields[first]) + Long.parseLong(fields[second])) / TICKS_A_SECOND;
	}

	private static long number(List<String> lines, String key) {
		return lines.stream()
			.filter((line) -> line.startsWith(key))
			.map((line) -> line.substring(key.length()).replace("kB", "").trim())
			.mapToLong(Long::parseLong)
			.findFirst()
			.orElseThrow();
	}

	/**
	 * Counts of one process.
	 *
	 * @param processorSeconds processor time
	 * @param bytesIn bytes read, from sockets and files
	 * @param bytesOut bytes written, to sockets and files
	 * @param residentMiB resident memory
	 */
	record Usage(double processorSeconds, double bytesIn, double bytesOut, double residentMiB) {

		Usage since(Usage before) {
			return new Usage(this.processorSeconds - before.processorSeconds, this.bytesIn - before.bytesIn,
					this.bytesOut - before.bytesOut, this.residentMiB);
		}

		Usage perSecond(double seconds) {
			return new Usage(this.processorSeconds / seconds, this.bytesIn / seconds, this.bytesOut / seconds,
					this.residentMiB);
		}

	}

}
