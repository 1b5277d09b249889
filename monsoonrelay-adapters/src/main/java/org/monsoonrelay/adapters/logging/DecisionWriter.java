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
 * Writes decisions as JSON lines. Never blocks the caller: decisions are kept in a
 * bounded buffer that one thread empties ten times a second. Decisions that do not fit
 * into the buffer or exceed the {@link LineBudget} are omitted; a separate line reports
 * their number by event. Thread-safe.
 */
public final class DecisionWriter implements DecisionLog, AutoCloseable {

	/**
	 * Capacity of the buffer; at 1,000 lines a second it covers a stall of two seconds.
	 */
	private static final int BUFFER_CAPACITY = 2000;

	private static final long FLUSH_PERIOD_MILLIS = 100;

	/**
	 * Maximum size of a block of whole lines that is written at once, unless a single
	 * line is longer. A pipe does not split a write of this size, so a reader that keeps
	 * only the first part of a block loses nothing.
	 */
	private static final int MAX_BLOCK_BYTES = 4096;

	private final BlockingQueue<TimestampedDecision> buffer = new ArrayBlockingQueue<>(BUFFER_CAPACITY);

	private final Map<String, Long> omittedByEvent = new ConcurrentHashMap<>();

	private final ObjectMapper mapper = new ObjectMapper().disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);

	private final OutputStream out;

	private final LongSupplier wallMillis;

	private final ScheduledExecutorService writer = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "decisions");
		thread.setDaemon(true);
		return thread;
	});

	/**
	 * Creates a writer.
	 * @param out the output of the lines
	 * @param wallMillis the wall clock, milliseconds since the epoch
	 */
	public DecisionWriter(OutputStream out, LongSupplier wallMillis) {
		this.out = out;
		this.wallMillis = wallMillis;
	}

	/**
	 * Starts the periodic writing.
	 */
	public void start() {
		this.writer.scheduleWithFixedDelay(this::flush, FLUSH_PERIOD_MILLIS, FLUSH_PERIOD_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	@Override
	public void write(Decision decision) {
		if (!this.buffer.offer(new TimestampedDecision(this.wallMillis.getAsLong(), decision))) {
			countOmitted(decision);
		}
	}

	private void countOmitted(Decision decision) {
		this.omittedByEvent.merge(LineBudget.eventName(decision), 1L, Long::sum);
	}

	/**
	 * Writes the buffered decisions.
	 */
	synchronized void flush() {
		List<TimestampedDecision> lines = new ArrayList<>();
		this.buffer.drainTo(lines);
		if (lines.isEmpty()) {
			return;
		}
		List<byte[]> encoded = new ArrayList<>();
		BitSet selected = LineBudget.select(lines.stream().map(TimestampedDecision::decision).toList());
		for (int i = 0; i < lines.size(); i++) {
			TimestampedDecision line = lines.get(i);
			if (!selected.get(i)) {
				countOmitted(line.decision());
				continue;
			}
			ObjectNode node = this.mapper.createObjectNode()
				.put("at", line.atMillis())
				.put("event", LineBudget.eventName(line.decision()));
			node.setAll((ObjectNode) this.mapper.valueToTree(line.decision()));
			encoded.add(encode(node));
		}
		takeOmissionSummary().ifPresent((node) -> encoded.add(encode(node)));
		try {
			write(encoded);
		}
		catch (IOException ex) {
			// The output has no reader; count the lines as omitted.
			lines.forEach((line) -> countOmitted(line.decision()));
		}
	}

	private Optional<ObjectNode> takeOmissionSummary() {
		ObjectNode byEvent = this.mapper.createObjectNode();
		long count = 0;
		for (String event : new TreeSet<>(this.omittedByEvent.keySet())) {
			long omitted = this.omittedByEvent.remove(event);
			byEvent.put(event, omitted);
			count += omitted;
		}
		if (count == 0) {
			return Optional.empty();
		}
		ObjectNode node = this.mapper.createObjectNode().put("event", "LinesLeftOut").put("count", count);
		node.set("byEvent", byEvent);
		return Optional.of(node);
	}

	private static byte[] encode(ObjectNode line) {
		return (line + "\n").getBytes(StandardCharsets.UTF_8);
	}

	private void write(List<byte[]> encoded) throws IOException {
		ByteArrayOutputStream block = new ByteArrayOutputStream(MAX_BLOCK_BYTES);
		for (byte[] line : encoded) {
			if (block.size() > 0 && block.size() + line.length > MAX_BLOCK_BYTES) {
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

	private record TimestampedDecision(long atMillis, Decision decision) {

	}

}
