package org.monsoonrelay.adapters.logging;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;

import static org.assertj.core.api.Assertions.assertThat;

class DecisionWriterTests {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final DecisionWriter writer = new DecisionWriter(this.out, () -> 77);

	private List<String> lines() {
		return this.out.toString(StandardCharsets.UTF_8).lines().toList();
	}

	@Test
	void aDecisionIsWrittenAsOneLineWithItsInputs() {
		this.writer.write(new JobDecision.CancellationAnswered("a\nb", "ACCEPTED", 12));
		this.writer.flush();
		assertThat(lines()).containsExactly("{\"at\":77,\"event\":\"CancellationAnswered\",\"job\":\"a\\nb\","
				+ "\"outcome\":\"ACCEPTED\",\"tookMillis\":12}");
	}

	@Test
	void aCountByReasonIsWrittenAsAnObject() {
		this.writer.write(new PoolDecision.StepsWaiting(100, Map.of("NO_CAPACITY", 2)));
		this.writer.write(new PoolDecision.StepsWaiting(100, Map.of()));
		this.writer.flush();
		assertThat(lines()).containsExactly(
				"{\"at\":77,\"event\":\"StepsWaiting\",\"epoch\":100,\"steps\":{\"NO_CAPACITY\":2}}",
				"{\"at\":77,\"event\":\"StepsWaiting\",\"epoch\":100,\"steps\":{}}");
	}

	@Test
	void aFloodOfOneEventIsLimitedAndCountedAndOtherEventsAreWritten() {
		for (int i = 0; i < 1000; i++) {
			this.writer.write(new JobDecision.WriteRelayed("a", "h", "ACCEPTED", i));
		}
		this.writer.write(new JobDecision.RequestRefused("b", "no such queue", 1, 0));
		this.writer.flush();
		assertThat(lines()).hasSize(151);
		assertThat(lines().get(149)).contains("RequestRefused");
		assertThat(lines().get(150))
			.isEqualTo("{\"event\":\"LinesLeftOut\",\"count\":851,\"byEvent\":{\"WriteRelayed\":851}}");
	}

	@Test
	void linesWithAFinalOutcomeTakePrecedenceOverOtherLines() {
		for (int i = 0; i < 100; i++) {
			this.writer.write(new JobDecision.WriteRelayed("a", "h", "ACCEPTED", i));
		}
		for (int i = 0; i < 100; i++) {
			this.writer.write(new JobDecision.RequestRefused("b", "no such queue", i, 0));
		}
		this.writer.flush();
		assertThat(lines()).filteredOn((line) -> line.contains("\"event\":\"RequestRefused\"")).hasSize(100);
		assertThat(lines()).filteredOn((line) -> line.contains("\"event\":\"WriteRelayed\"")).hasSize(50);
	}

	@Test
	void eachEventHasGuaranteedLinesHoweverManyOutcomesThereAre() {
		for (int i = 0; i < 1000; i++) {
			this.writer.write(new JobDecision.RequestRefused("b", "no such queue", i, 0));
		}
		for (int i = 0; i < 100; i++) {
			this.writer.write(new JobDecision.WriteRelayed("a", "h", "ACCEPTED", i));
		}
		this.writer.flush();
		assertThat(lines()).filteredOn((line) -> line.contains("\"event\":\"WriteRelayed\"")).hasSize(30);
	}

	@Test
	void omittedLinesAreReportedOnce() {
		for (int i = 0; i < 200; i++) {
			this.writer.write(new JobDecision.RequestRefused("b", "r", i, 0));
		}
		this.writer.flush();
		this.writer.write(new JobDecision.RequestRefused("b", "r", 200, 0));
		this.writer.flush();
		assertThat(lines()).filteredOn((line) -> line.contains("LinesLeftOut")).hasSize(1);
	}

	@Test
	void aFullBufferDoesNotBlockTheCaller() {
		for (int i = 0; i < 5000; i++) {
			this.writer.write(new JobDecision.RequestRefused("b", "r", i, 0));
		}
		this.writer.flush();
		assertThat(lines().get(lines().size() - 1))
			.isEqualTo("{\"event\":\"LinesLeftOut\",\"count\":4850,\"byEvent\":{\"RequestRefused\":4850}}");
	}

	@Test
	void manyLinesAreWrittenInSmallBlocksOfWholeLines() {
		List<String> blocks = new ArrayList<>();
		DecisionWriter blockWriter = new DecisionWriter(new OutputStream() {
			@Override
			public void write(int value) {
				throw new AssertionError("written byte by byte");
			}

			@Override
			public void write(byte[] bytes, int from, int length) {
				blocks.add(new String(bytes, from, length, StandardCharsets.UTF_8));
			}
		}, () -> 1);
		for (int i = 0; i < 30; i++) {
			blockWriter.write(new JobDecision.RequestRefused("x".repeat(500), "r", i, 0));
		}
		blockWriter.flush();
		assertThat(blocks).hasSizeGreaterThan(3).allMatch((block) -> block.length() <= 4096 && block.endsWith("\n"));
		assertThat(String.join("", blocks).lines()).hasSize(30);
	}

	@Test
	void aClosedOutputDoesNotStopTheWriter() {
		DecisionWriter writerWithoutReader = new DecisionWriter(new OutputStream() {
			@Override
			public void write(int value) throws IOException {
				throw new IOException("closed");
			}
		}, () -> 1);
		writerWithoutReader.write(new JobDecision.RequestRefused("b", "r", 1, 0));
		writerWithoutReader.flush();
		writerWithoutReader.write(new JobDecision.RequestRefused("b", "r", 2, 0));
		writerWithoutReader.close();
	}

}
