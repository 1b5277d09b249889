package second;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, one line each, with the seconds since the start. */
final class Record implements AutoCloseable {

	private final PrintWriter out;

	private final long startNanos = System.nanoTime();

	Record(Path file) {
		try {
			this.out = new PrintWriter(Files.newBufferedWriter(file));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	synchronized void line(String who, String what) {
		this.out.printf("%8.3f %-9s %s%n", (System.nanoTime() - this.startNanos) / 1e9, who, what);
		this.out.flush();
	}

	@Override
	public void close() {
		this.out.close();
	}

}
