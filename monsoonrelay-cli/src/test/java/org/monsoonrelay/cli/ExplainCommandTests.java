package org.monsoonrelay.cli;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.monsoonrelay.logic.platform.Json;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

class ExplainCommandTests {

	private static final String LEARNT = "{\"at\":5,\"event\":\"JobLearnt\",\"job\":\"a1\",\"queue\":\"q\","
			+ "\"ageMillis\":17,\"steps\":1}";

	private static final String ANSWERED = "{\"at\":9,\"event\":\"SubmissionAnswered\",\"job\":\"a1\","
			+ "\"queue\":\"q\",\"outcome\":\"ACCEPTED\",\"tookMillis\":13,\"configurationVersion\":4}";

	private final StringWriter out = new StringWriter();

	private final StringWriter err = new StringWriter();

	@TempDir
	private Path folder;

	private int explain(String input, String... arguments) {
		ByteArrayInputStream stream = new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8));
		CommandLine line = MonsoonrelayMain.commandLine(Pacer.SYSTEM, () -> Instant.EPOCH, stream);
		line.setOut(new PrintWriter(this.out));
		line.setErr(new PrintWriter(this.err));
		String[] all = new String[arguments.length + 1];
		all[0] = "explain";
		System.arraycopy(arguments, 0, all, 1, arguments.length);
		return line.execute(all);
	}

	private String file(String name, String content) throws IOException {
		return Files.writeString(this.folder.resolve(name), content).toString();
	}

	@Test
	void tellsTheStoryFromTheStandardInputAndWhatItCameTo() {
		assertThat(explain("h1 " + LEARNT + "\ng " + ANSWERED + '\n', "a1")).isZero();
		assertThat(this.out.toString().lines()).containsExactly(
				"g: SubmissionAnswered queue=q outcome=ACCEPTED tookMillis=13 configurationVersion=4",
				"h1: JobLearnt queue=q ageMillis=17 steps=1",
				"=> no line tells its end: no step was placed, and no line tells that it was asked who may run the "
						+ "next one");
		assertThat(this.err.toString()).isEmpty();
	}

	@Test
	void readsOneFileForEachProcess() throws IOException {
		assertThat(explain("", "a1", file("owner.log", LEARNT), file("gateway.log", ANSWERED))).isZero();
		assertThat(this.out.toString().lines().map((line) -> line.split(" ")[0])).containsExactly("gateway.log:",
				"owner.log:", "=>");
	}

	@Test
	void saysWithItsExitCodeThatTheIdIsNotThere() {
		assertThat(explain(LEARNT + '\n', "b2")).isEqualTo(1);
		assertThat(this.err.toString()).contains("none of 1 lines names b2");
		assertThat(this.out.toString()).isEmpty();
	}

	@Test
	void namesAFileThatCannotBeRead() {
		assertThat(explain("", "a1", this.folder.resolve("none.log").toString())).isEqualTo(2);
		assertThat(this.err.toString()).contains("none.log: cannot be read");
	}

	@Test
	void tellsOnTheStandardErrorWhatMayBeMissing() {
		assertThat(explain("h1 " + LEARNT + "\nh1 " + ANSWERED.substring(0, 60), "a1")).isZero();
		assertThat(this.err.toString()).startsWith("1 lines are cut, 1 of them name a1");
	}

	@Test
	void writesTheLinesAsJsonIfWanted() throws IOException {
		assertThat(explain("h1 " + LEARNT + "\ng " + ANSWERED, "a1", "--json")).isZero();
		JsonNode lines = Json.MAPPER.readTree(this.out.toString());
		assertThat(lines).hasSize(2);
		assertThat(lines.get(0).path("source").asText()).isEqualTo("g");
		assertThat(lines.get(0).path("fields").path("tookMillis").asInt()).isEqualTo(13);
	}

}
