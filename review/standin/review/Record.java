package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with seconds since its start. Thread-safe. */
final class Record implements AutoCloseable {

	private final long startNanos = System.nanoTime();

	private final PrintWriter file;

	Record(Path path) {
		try {
			this.file = new PrintWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	double seconds() {
		return (System.nanoTime() - this.startNanos) / 1e9;
	}

	synchronized void write(String who, String what) {
		this.file.printf(Locale.ROOT, "%8.3f %s: %s%n", seconds(), who, what);
	}

	/** Writes a line to the record and to the standard output. */
	synchronized void tell(String who, String what) {
		write(who, what);
		System.out.printf(Locale.ROOT, "%8.3f %s: %s%n", seconds(), who, what);
		this.file.flush();
	}

	@Override
	public synchronized void close() {
		this.file.close();
	}

}
