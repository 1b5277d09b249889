package org.monsoonrelay.adapters.logging;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.events.DecisionLog;

/**
 * Writes decisions as JSON lines. Never blocks who decides: lines wait in a bounded
 * buffer that one thread empties ten times a second. What does not fit, and what exceeds
 * the limit of its kind, is left out and counted in a line of its own. Thread-safe.
 */
public final class DecisionWriter implements DecisionLog, AutoCloseable {

	/** Lines that may wait; at 1,000 lines a second two seconds of a stalled reader. */
	private static final int BUFFERED_LINES = 2000;

	/** Lines of one kind in a period; 300 a second, twice what a heavy day writes. */
	private static final int LINES_PER_KIND = 30;

	private static final long PERIOD_MILLIS = 100;

	/**
	 * Bytes that are written at once, whole lines; a pipe takes so much without dividing
	 * it. Of blocks of 20 KB readers kept the first 8 KB: half of the lines of an owner
	 * of 245 workers were missing.
	 */
	private static final int BLOCK_BYTES = 4096;

	private final BlockingQueue<Stamped> buffer = new ArrayBlockingQueue<>(BUFFERED_LINES);

	private final AtomicLong leftOut = new AtomicLong();

	private final ObjectMapper mapper = new ObjectMapper().disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);

	private final OutputStream out;

	private final LongSupplier wallMillis;

	private final ScheduledExecutorService writer = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "decisions");
		thread.setDaemon(true);
		return thread;
	});

	/**
	 * Create a writer.
	 * @param out where the lines go
	 * @param wallMillis the time of day
	 */
	public DecisionWriter(OutputStream out, LongSupplier wallMillis) {
		this.out = out;
		this.wallMillis = wallMillis;
	}

	/**
	 * Begin to write.
	 */
	public void start() {
		this.writer.scheduleWithFixedDelay(this::flush, PERIOD_MILLIS, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Override
	public void write(Decision decision) {
		if (!this.buffer.offer(new Stamped(this.wallMillis.getAsLong(), decision))) {
			this.leftOut.incrementAndGet();
		}
	}

	/**
	 * Write what waits.
	 */
	synchronized void flush() {
		List<Stamped> lines = new ArrayList<>();
		this.buffer.drainTo(lines);
		if (lines.isEmpty()) {
			return;
		}
		List<byte[]> encoded = new ArrayList<>();
		Map<String, Integer> written = new HashMap<>();
		for (Stamped line : lines) {
			String event = line.decision().getClass().getSimpleName();
			if (written.merge(event, 1, Integer::sum) > LINES_PER_KIND) {
				this.leftOut.incrementAndGet();
				continue;
			}
			ObjectNode node = this.mapper.createObjectNode().put("at", line.atMillis()).put("event", event);
			node.setAll((ObjectNode) this.mapper.valueToTree(line.decision()));
			encoded.add((node + "\n").getBytes(StandardCharsets.UTF_8));
		}
		long missing = this.leftOut.getAndSet(0);
		if (missing > 0) {
			encoded.add(("{\"event\":\"LinesLeftOut\",\"count\":" + missing + "}\n").getBytes(StandardCharsets.UTF_8));
		}
		try {
			write(encoded);
		}
		catch (IOException ex) {
			// Nobody reads; the lines count as left out.
			this.leftOut.addAndGet(lines.size());
		}
	}

	private void write(List<byte[]> encoded) throws IOException {
		ByteArrayOutputStream block = new ByteArrayOutputStream(BLOCK_BYTES);
		for (byte[] line : encoded) {
			if (block.size() > 0 && block.size() + line.length > BLOCK_BYTES) {
				this.out.write(block.toByteArray());
				this.out.flush();
				block.reset();
			}
			block.write(line);
		}
		this.out.write(block.toByteArray());
		this.out.flush();
	}

	@Override
	public void close() {
		this.writer.shutdownNow();
		flush();
	}

	private record Stamped(long atMillis, Decision decision) {

	}

}
