package org.monsoonrelay.logic.explain;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StepWaitReportTests {

	private static final String PLACED = line("TaskPlaced",
			"\"task\":\"a.0.0.1\",\"attempt\":1,\"worker\":\"w1\",\"fence\":1,\"waitedMillis\":2000");

	private static final String JOB_ENDED = line("JobEnded",
			"\"state\":\"COMPLETED\",\"ageMillis\":9000,\"lateMillis\":-100");

	private static String line(String event, String fields) {
		return "h1 {\"at\":1,\"event\":\"" + event + "\",\"job\":\"a\"," + fields + "}";
	}

	private static String waiting(String step, String reason, long waitedMillis) {
		return line("StepWaiting",
				"\"step\":\"" + step + "\",\"reason\":\"" + reason + "\",\"reasonMillis\":900,\"waitedMillis\":"
						+ waitedMillis + ",\"tasks\":2,\"suspectedTasks\":0,\"running\":1,\"matchingWorkers\":5,"
						+ "\"eligibleWorkers\":3,\"acceptingWorkers\":1,\"freeSlots\":0");
	}

	private static String ended(int index) {
		return line("TaskEnded",
				"\"task\":\"a.0.0." + index + "\",\"attempt\":1,\"worker\":\"w1\",\"end\":\"DONE\",\"ranMillis\":-1");
	}

	private static List<String> waits(String... lines) {
		return causes(lines).stream().filter((cause) -> cause.startsWith("step ")).toList();
	}

	private static List<String> causes(String... lines) {
		JobTimeline timeline = new JobTimeline("a");
		List.of(lines).forEach((line) -> timeline.addLine("file", line));
		return timeline.causes();
	}

	@Nested
	class AStepOfAnUnfinishedJob {

		@Test
		void waitsForAsLongAsItsLastLineSays() {
			assertThat(waits(waiting("0.0", "NO_CAPACITY", 1040), waiting("0.0", "NO_CAPACITY", 6099))).containsExactly(
					"step 0.0 waits for 6.0 s or longer without a start: no eligible worker that accepts work and "
							+ "has enough room (NO_CAPACITY); 2 waiting tasks; 1 of 3 eligible workers accepting work, "
							+ "with room for 0 tasks of the step");
		}

		@Test
		void waitsUntilOneOfItsTasksIsStarted() {
			assertThat(waits(waiting("0.0", "NO_CAPACITY", 1500), PLACED)).singleElement()
				.asString()
				.startsWith("step 0.0 waited for 1.5 s or longer without a start: ");
			assertThat(waits(waiting("0.0", "NO_CAPACITY", 1500), PLACED, waiting("0.0", "NO_CAPACITY", 1000)))
				.singleElement()
				.asString()
				.startsWith("step 0.0 waits for 1.0 s or longer without a start: ");
		}

		@Test
		void waitsNoLongerOnceMoreRunsAreOverThanWereActive() {
			assertThat(waits(waiting("0.0", "OWNER_RECOVERY", 1500), ended(0))).singleElement()
				.asString()
				.startsWith("step 0.0 waits for 1.5 s");
			assertThat(waits(waiting("0.0", "OWNER_RECOVERY", 1500), ended(0), ended(1))).singleElement()
				.asString()
				.startsWith("step 0.0 waited for 1.5 s");
		}

		@Test
		void waitsNoLongerOnceAnEarlierRunIsAdopted() {
			String unexpected = line("UnexpectedRun",
					"\"task\":\"a.0.0.1\",\"attempt\":1,\"worker\":\"w1\",\"taskStatus\":\"WAITING\",\"adopted\":%s");
			assertThat(waits(waiting("0.0", "START_UNRESOLVED", 1500), unexpected.formatted(true))).singleElement()
				.asString()
				.startsWith("step 0.0 waited for ");
			assertThat(waits(waiting("0.0", "START_UNRESOLVED", 1500), unexpected.formatted(false))).singleElement()
				.asString()
				.startsWith("step 0.0 waits for ");
		}

		@Test
		void isNotSaidToWaitForRoomIfItWaitsForSomethingElse() {
			String asked = line("EligibilityAnswered",
					"\"step\":\"0.0\",\"host\":\"h5\",\"asked\":11,\"allowed\":7,\"tookMillis\":1084");
			assertThat(causes(asked, waiting("0.0", "TICKETS_EXPIRED", 1500)))
				.contains("no line tells its end: step 0.0 was not placed: it was asked 1 times who may run it "
						+ "(7 to 7 workers allowed, 1084 ms in calls, 0 calls failed)");
			assertThat(causes(asked, waiting("0.0", "NO_CAPACITY", 1500))).last()
				.asString()
				.endsWith("0 calls failed), so that it waited for room on those");
		}

	}

	@Nested
	class AStepOfAJobThatEnded {

		@Test
		void waitedForTheLongestTimeThatWasLogged() {
			assertThat(waits(waiting("0.0", "NO_CAPACITY", 1500), waiting("0.0", "NO_CAPACITY", 6500), PLACED,
					waiting("0.0", "LOSS_UNCONFIRMED", 1000), JOB_ENDED))
				.containsExactly("step 0.0 waited for 6.5 s or longer without a start: no eligible worker that "
						+ "accepts work and has enough room (NO_CAPACITY); 2 waiting tasks; 1 of 3 eligible workers "
						+ "accepting work, with room for 0 tasks of the step; other reasons, in order: the loss of an "
						+ "earlier run not confirmed by a renewal (LOSS_UNCONFIRMED)");
		}

		@Test
		void isNotSaidToHaveWaitedForRoomIfItWaitedForSomethingElse() {
			assertThat(causes(waiting("0.0", "OWNER_RECOVERY", 1500), PLACED, JOB_ENDED)).last()
				.asString()
				.contains("2000 ms waiting for its first start");
			assertThat(causes(waiting("0.0", "NO_CAPACITY", 1500), PLACED, JOB_ENDED)).last()
				.asString()
				.contains("2000 ms waiting for room before its first start");
			assertThat(causes(waiting("0.0", "OWNER_RECOVERY", 1500).replace("h1 ", "h2 "), PLACED, JOB_ENDED)).last()
				.asString()
				.contains("2000 ms waiting for room before its first start");
		}

	}

	@Nested
	class Sentences {

		@Test
		void areWrittenForEachStepThatWaited() {
			assertThat(waits(waiting("0.0", "NO_CAPACITY", 1500), waiting("0.10", "NO_CAPACITY", 1500), PLACED,
					waiting("0.2", "NO_CAPACITY", 1500)))
				.hasSize(3)
				.satisfiesExactly((first) -> assertThat(first).startsWith("step 0.0 waited for "),
						(second) -> assertThat(second).startsWith("step 0.10 waits for "),
						(third) -> assertThat(third).startsWith("step 0.2 waits for "));
		}

		@Test
		void listEachOtherReasonOnceInOrder() {
			assertThat(waits(waiting("0.0", "OWNER_RECOVERY", 1000), waiting("0.0", "ELIGIBILITY_UNKNOWN", 2000),
					waiting("0.0", "NO_CAPACITY", 3000), waiting("0.0", "ELIGIBILITY_UNKNOWN", 4000),
					waiting("0.0", "NO_CAPACITY", 5000)))
				.singleElement()
				.asString()
				.contains(
						"s or longer without a start: no eligible worker that accepts work and has enough room (NO_CAPACITY);")
				.endsWith("; other reasons, in order: not known yet what runs on the workers of the former owner "
						+ "(OWNER_RECOVERY), then no reply that tells which workers are eligible "
						+ "(ELIGIBILITY_UNKNOWN)");
		}

		@Test
		void nameSuspectedTasksAndStepsWithoutStartableTasks() {
			assertThat(waits(
					waiting("0.0", "CRASH_ISOLATION", 1500).replace("\"suspectedTasks\":0", "\"suspectedTasks\":1")))
				.singleElement()
				.asString()
				.contains("; 2 waiting tasks, 1 of them suspected to crash their workers; ");
			assertThat(waits(waiting("0.0", "RECORDS_NOT_DURABLE", 1500).replace("\"tasks\":2", "\"tasks\":0")))
				.singleElement()
				.asString()
				.contains("; no task that may be started; ");
		}

		@Test
		void nameAReasonOfAnotherReleaseAsItStands() {
			assertThat(waits(waiting("0.0", "SOMETHING_ELSE", 1500))).singleElement()
				.asString()
				.startsWith("step 0.0 waits for 1.5 s or longer without a start: SOMETHING_ELSE; 2 waiting tasks; ");
		}

	}

}
