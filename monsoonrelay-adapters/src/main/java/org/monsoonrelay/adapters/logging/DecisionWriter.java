package org.monsoonrelay.adapters.logging;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.events.DecisionLog;

/**
 * Writes decisions as JSON lines. Never blocks who decides: lines wait in a bounded
 * buffer that one thread empties ten times a second. What does not fit, and what exceeds
 * the {@link LineBudget}, is left out and counted by event in a line of its own.
 * Thread-safe.
 */
public final class DecisionWriter implements DecisionLog, AutoCloseable {

	/** Lines that may wait; at 1,000 lines a second two seconds of a stalled reader. */
	private static final int BUFFERED_LINES = 2000;

	private static final long PERIOD_MILLIS = 100;

	/**
	 * Bytes that are written at once, whole lines; a pipe takes so much without dividing
	 * it, and a reader that keeps only the first part of a block loses nothing.
	 */
	private static final int BLOCK_BYTES = 4096;

	private final BlockingQueue<Stamped> buffer = new ArrayBlockingQueue<>(BUFFERED_LINES);

	private final Map<String, Long> leftOut = new ConcurrentHashMap<>();

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
			leaveOut(decision);
		}
	}

	private void leaveOut(Decision decision) {
		this.leftOut.merge(LineBudget.eventName(decision), 1L, Long::sum);
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
		BitSet chosen = LineBudget.select(lines.stream().map(Stamped::decision).toList());
		for (int i = 0; i < lines.size(); i++) {
			Stamped line = lines.get(i);
			if (!chosen.get(i)) {
				leaveOut(line.decision());
				continue;
			}
			ObjectNode node = this.mapper.createObjectNode()
				.put("at", line.atMillis())
				.put("event", LineBudget.eventName(line.decision()));
			node.setAll((ObjectNode) this.mapper.valueToTree(line.decision()));
			encoded.add(bytes(node));
		}
		missing().ifPresent((node) -> encoded.add(bytes(node)));
		try {
			write(encoded);
		}
		catch (IOException ex) {
			// Nobody reads; the lines count as left out.
			lines.forEach((line) -> leaveOut(line.decision()));
		}
	}

	private Optional<ObjectNode> missing() {
		ObjectNode byEvent = this.mapper.createObjectNode();
		long count = 0;
		for (String event : new TreeSet<>(this.leftOut.keySet())) {
			long missing = this.leftOut.remove(event);
			byEvent.put(event, missing);
			count += missing;
		}
		if (count == 0) {
			return Optional.empty();
		}
		ObjectNode node = this.mapper.createObjectNode().put("event", "LinesLeftOut").put("count", count);
		node.set("byEvent", byEvent);
		return Optional.of(node);
	}

	private static byte[] bytes(ObjectNode line) {
		return (line + "\n").getBytes(StandardCharsets.UTF_8);
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
