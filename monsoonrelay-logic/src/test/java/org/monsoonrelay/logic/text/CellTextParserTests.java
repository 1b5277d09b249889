package org.monsoonrelay.logic.text;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class CellTextParserTests {

	private static final String SIZE = "\"size\": {\"processors\": 1, \"memoryMiB\": 1, \"accelerators\": 0}";

	private static List<String> faults(String document) {
		return new CellTextParser().parse(document).faults().stream().map(TextFault::toString).toList();
	}

	private static String text(String... runs) {
		return """
				{"cell": "c", "teams": [{"name": "crew", "weight": 1,
				"quota": {"processors": 4, "memoryMiB": 4, "accelerators": 0}}], "batchRuns": [%s]}"""
			.formatted(String.join(",", runs));
	}

	private static String run(String name, String more) {
		return "{\"name\": \"%s\", \"run\": \"r1\", \"team\": \"crew\", \"tasks\": 5, \"runMillis\": 1, \"once\": true, %s%s}"
			.formatted(name, SIZE, more);
	}

	@ParameterizedTest
	@ValueSource(strings = { "pelo-fino.json", "vembanad.json" })
	void examplesHaveNoFaults(String example) throws IOException {
		assertThat(faults(Files.readString(Path.of("..", "examples", example)))).isEmpty();
	}

	@Nested
	class Syntax {

		@Test
		void faultStatesLineAndColumn() {
			assertThat(faults("{\"cell\": \"c\",\n  \"teams\": [}")).singleElement()
				.asString()
				.startsWith("/: line 2, column 13: Unexpected close marker");
		}

		@Test
		void duplicateKeyIsAFault() {
			assertThat(faults("{\"cell\": \"c\",\n\"cell\": \"d\"}")).singleElement()
				.asString()
				.contains("line 2")
				.contains("Duplicate field 'cell'");
		}

		@Test
		void emptyDocumentIsAFault() {
			assertThat(faults("")).containsExactly("/: the document is empty");
		}

	}

	@Nested
	class Schema {

		@Test
		void wrongTypesUnknownKeysAndMissingKeysAreAllReported() {
			String document = """
					{"cell": "C!", "teams": [], "batchRun": [],
					"services": [{"name": "desk", "team": 7, "replicas": "six", "colour": "red", "size": {}}]}""";

			assertThat(faults(document)).containsExactlyInAnyOrder("/batchRun: unknown key",
					"/cell: must be a name: lower-case letters, digits, dots and hyphens, 63 at most",
					"/services/0/colour: unknown key", "/services/0/replicas: string found, integer expected",
					"/services/0/size: 'accelerators' is missing", "/services/0/size: 'memoryMiB' is missing",
					"/services/0/size: 'processors' is missing", "/services/0/team: integer found, string expected",
					"/teams: must have at least 1 items but found 0");
		}

		@Test
		void valueThatFitsTheSchemaButNotItsTypeIsAFaultWithAPointer() {
			String target = ", \"targets\": [{\"name\": \"t\", \"kind\": \"finish_by\", \"penaltyCents\": 1, \"by\": \"2026-13-45T00:00:00Z\"}]";

			assertThat(faults(text(run("roster", target)))).singleElement()
				.asString()
				.startsWith("/batchRuns/0/targets/0/by: ");
		}

		@Test
		void referencesAreCheckedEvenIfTheSchemaFindsFaults() {
			assertThat(faults(text(run("roster", ", \"colour\": 1"), run("roster", "")))).containsExactly(
					"/batchRuns/0/colour: unknown key",
					"/batchRuns/1/name: 'roster' is already declared at /batchRuns/0");
		}

	}

	@Nested
	class References {

		@Test
		void unknownTeamIsReported() {
			assertThat(faults(text(run("roster", "").replace("crew", "cooks"))))
				.containsExactly("/batchRuns/0/team: team 'cooks' is not declared");
		}

		@Test
		void workThatExceedsItsQuotaIsReported() {
			String gang = text(run("settlement", "")).replace("batchRuns", "jobs");

			assertThat(faults(gang)).singleElement()
				.asString()
				.startsWith("/jobs/0/size: can never run: 5 task(s)")
				.contains("exceed the quota of team 'crew'");
		}

		@Test
		void cycleIsReportedOnceWithItsPath() {
			assertThat(faults(text(run("a", ", \"dependsOn\": [\"b\"]"), run("b", ", \"dependsOn\": [\"c\", \"x\"]"),
					run("c", ", \"dependsOn\": [\"a\"]"), run("d", ", \"dependsOn\": [\"a\"]"))))
				.containsExactlyInAnyOrder("/batchRuns/1/dependsOn/1: 'x' is not declared",
						"/batchRuns/2/dependsOn/0: closes a cycle: a -> b -> c -> a");
		}

		@Test
		void longChainOfDependenciesIsNoFault() {
			String[] chain = IntStream.range(0, 20_000)
				.mapToObj(
						(index) -> run("r" + index, (index == 0) ? "" : ", \"dependsOn\": [\"r" + (index - 1) + "\"]"))
				.toArray(String[]::new);

			assertThat(faults(text(chain))).isEmpty();
		}

		@Test
		void targetsOfTheSameNameAreReported() {
			String target = "{\"name\": \"t\", \"kind\": \"start_within\", \"withinMillis\": 5, \"penaltyCents\": 1}";
			String targets = IntStream.range(0, 2).mapToObj((index) -> target).collect(Collectors.joining(","));

			assertThat(faults(text(run("roster", ", \"targets\": [" + targets + "]"))))
				.containsExactly("/batchRuns/0/targets/1/name: target 't' is declared twice");
		}

	}

}
