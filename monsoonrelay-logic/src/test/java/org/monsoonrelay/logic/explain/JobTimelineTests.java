package org.monsoonrelay.logic.explain;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class JobTimelineTests {

	private static final String ANSWERED = "{\"at\":9000,\"event\":\"SubmissionAnswered\",\"job\":\"a\","
			+ "\"queue\":\"q\",\"outcome\":\"ACCEPTED\",\"tookMillis\":13,\"configurationVersion\":4}";

	private static final String LEARNT = "{\"at\":5,\"event\":\"JobLearnt\",\"job\":\"a\",\"queue\":\"q\","
			+ "\"ageMillis\":17,\"steps\":1}";

	private static final String ENDED = "{\"at\":1,\"event\":\"JobEnded\",\"job\":\"a\",\"state\":\"COMPLETED\","
			+ "\"ageMillis\":900,\"lateMillis\":-100}";

	private static final String CANCELLED = "{\"at\":1,\"event\":\"JobEnded\",\"job\":\"a\",\"state\":\"CANCELLED\","
			+ "\"ageMillis\":900,\"lateMillis\":-100}";

	private static final String CANCEL = "{\"at\":8000,\"event\":\"CancellationAnswered\",\"job\":\"a\","
			+ "\"outcome\":\"ACCEPTED\",\"tookMillis\":20}";

	private static String placed(int index, int attempt, long fence) {
		return "{\"at\":3,\"event\":\"TaskPlaced\",\"job\":\"a\",\"task\":\"a.0.0." + index + "\",\"attempt\":"
				+ attempt + ",\"worker\":\"w" + fence + "\",\"fence\":" + fence
				+ ",\"lookAgeMillis\":4,\"waitedMillis\":30}";
	}

	private static String ended(int index, int attempt, String end) {
		return "{\"at\":2,\"event\":\"TaskEnded\",\"job\":\"a\",\"task\":\"a.0.0." + index + "\",\"attempt\":" + attempt
				+ ",\"worker\":\"w1\",\"end\":\"" + end + "\",\"ranMillis\":400}";
	}

	private static String ownershipTaken(long epoch) {
		return "{\"at\":1,\"event\":\"OwnershipTaken\",\"epoch\":" + epoch
				+ ",\"previousHolder\":\"h1\",\"reason\":\"not renewed\"}";
	}

	private static JobTimeline timeline(String... lines) {
		JobTimeline timeline = new JobTimeline("a");
		List.of(lines).forEach((line) -> timeline.addLine("file", line));
		return timeline;
	}

	private static List<String> eventsOf(JobTimeline timeline) {
		return timeline.lines().stream().map((line) -> line.source() + ' ' + line.event()).toList();
	}

	@Nested
	class Order {

		@Test
		void followsCausesRegardlessOfWallClockTimes() {
			JobTimeline timeline = timeline("h2 " + ownershipTaken(2), "h2 " + placed(0, 49, 2),
					"h2 " + ended(0, 49, "DONE"), "h2 " + ENDED, "h1 " + ownershipTaken(1), "h1 " + LEARNT,
					"h1 " + placed(0, 1, 1), "g " + ANSWERED);
			assertThat(eventsOf(timeline)).containsExactly("g SubmissionAnswered", "h1 JobLearnt", "h1 TaskPlaced",
					"h2 OwnershipTaken", "h2 TaskPlaced", "h2 TaskEnded", "h2 JobEnded");
		}

		@Test
		void doesNotDependOnHowTheLinesOfProcessesAreInterleaved() {
			List<List<String>> processes = List.of(List.of("g " + ANSWERED),
					List.of("h1 " + ownershipTaken(1), "h1 " + LEARNT, "h1 " + placed(0, 1, 1),
							"h1 " + placed(1, 1, 1)),
					List.of("h2 " + ownershipTaken(2), "h2 " + ended(0, 1, "DONE"), "h2 " + placed(1, 49, 2)),
					List.of("h3 " + ownershipTaken(3), "h3 " + ended(1, 49, "DONE"), "h3 " + ENDED));
			List<String> expected = eventsOf(merged(processes, new Random(0)));
			for (int seed = 1; seed < 200; seed++) {
				assertThat(eventsOf(merged(processes, new Random(seed)))).isEqualTo(expected);
			}
			assertThat(expected.get(0)).isEqualTo("g SubmissionAnswered");
			assertThat(expected).containsSubsequence("h1 JobLearnt", "h1 TaskPlaced", "h2 OwnershipTaken",
					"h2 TaskPlaced", "h3 OwnershipTaken", "h3 JobEnded");
		}

		private static JobTimeline merged(List<List<String>> processes, Random random) {
			JobTimeline timeline = new JobTimeline("a");
			List<List<String>> rest = new ArrayList<>();
			processes.forEach((lines) -> rest.add(new ArrayList<>(lines)));
			while (!rest.isEmpty()) {
				List<String> next = rest.get(random.nextInt(rest.size()));
				timeline.addLine("file", next.remove(0));
				rest.removeIf(List::isEmpty);
			}
			return timeline;
		}

		@Test
		void putsACancellationBeforeTheEndThatItCaused() {
			assertThat(eventsOf(timeline("h1 " + LEARNT, "h1 " + placed(0, 1, 1), "h1 " + CANCELLED, "g " + CANCEL)))
				.containsExactly("h1 JobLearnt", "h1 TaskPlaced", "g CancellationAnswered", "h1 JobEnded");
		}

		@Test
		void includesAllLinesIfTheyFormACausalCycle() {
			JobTimeline timeline = timeline("h1 " + ended(0, 2, "DONE"), "h1 " + placed(0, 1, 1),
					"h2 " + ended(0, 1, "DONE"), "h2 " + placed(0, 2, 1));
			assertThat(eventsOf(timeline)).hasSize(4);
		}

	}

	@Nested
	class Lines {

		@Test
		void mayHaveAPrefixAddedByALogCollector() {
			for (String prefix : List.of("", "h1 | ", "  -9.4454 h1 ", "Dec  3 03:10:05 h1: ",
					"2026-12-03T03:10:05.1Z h1 ")) {
				JobTimeline timeline = timeline("{\"event\":\"ProcessStarted\",\"role\":\"host\",\"host\":\"h1\"}",
						prefix + LEARNT);
				assertThat(timeline.lines()).as(prefix).hasSize(1);
			}
			assertThat(eventsOf(timeline("Dec  3 03:10:05 h1: " + LEARNT))).containsExactly("h1 JobLearnt");
			assertThat(eventsOf(timeline("  -9.4454 h1 " + LEARNT))).containsExactly("h1 JobLearnt");
			assertThat(eventsOf(timeline("{\"event\":\"ProcessStarted\",\"host\":\"h7\"}", LEARNT)))
				.containsExactly("h7 JobLearnt");
			assertThat(eventsOf(timeline(LEARNT))).containsExactly("file JobLearnt");
		}

		@Test
		void thatAreTruncatedAreCountedAndSkipped() {
			JobTimeline timeline = timeline("h1 " + LEARNT, "h1 " + placed(0, 1, 1).substring(0, 70),
					"h1 {\"at\":4,\"eve", "h1 " + ENDED);
			assertThat(eventsOf(timeline)).containsExactly("h1 JobLearnt", "h1 JobEnded");
			assertThat(timeline.missingData()).containsExactly("2 lines are cut, 1 of them name a");
		}

		@Test
		void thatBeginWithTheRemainderOfATruncatedOneAreParsed() {
			JobTimeline timeline = timeline("1.0 h1 " + LEARNT,
					"1.0 h1 " + placed(0, 1, 1).substring(0, 70) + " 1.1 g " + CANCEL);
			assertThat(eventsOf(timeline)).containsExactly("h1 JobLearnt", "g CancellationAnswered");
		}

		@Test
		void ofAnOwnerWithoutAPrefixAreAttributedToTheOwnerOfTheirEpoch() {
			JobTimeline timeline = timeline("1.0 h1 " + placed(0, 1, 1), "1.0 g " + ANSWERED, ended(0, 1, "DONE"),
					"1.0 h1 " + ENDED);
			assertThat(eventsOf(timeline)).containsExactly("g SubmissionAnswered", "h1 TaskPlaced", "h1 TaskEnded",
					"h1 JobEnded");
		}

		@Test
		void thatWereOmittedAreReportedAsMissing() {
			assertThat(timeline("h1 " + LEARNT, "h1 {\"event\":\"LinesLeftOut\",\"count\":7}").missingData())
				.containsExactly("7 lines of all jobs were left out by their bounds: steps may be missing");
		}

		@Test
		void ofOtherJobsAreNotIncluded() {
			JobTimeline timeline = timeline("h1 " + LEARNT.replace("\"a\"", "\"ab\""), "noise", "");
			assertThat(timeline.isFound()).isFalse();
			assertThat(timeline.readCount()).isEqualTo(3);
		}

		@Test
		void ofATaskIncludeThoseOfItsJobButNotOfOtherTasks() {
			JobTimeline timeline = new JobTimeline("a.0.0.1");
			List.of(LEARNT, placed(0, 1, 1), placed(1, 1, 1), ended(0, 1, "DONE"), ended(1, 1, "FAILED"), ENDED)
				.forEach((line) -> timeline.addLine("file", line));
			assertThat(timeline.lines()).extracting((line) -> line.text("task"))
				.containsExactly("", "a.0.0.1", "a.0.0.1", "");
		}

		@Test
		void ofARefusedRequestAreFoundByItsPath() {
			JobTimeline timeline = timeline("g {\"at\":1,\"event\":\"RequestRefused\",\"request\":\"/x/a\","
					+ "\"reason\":\"no such queue\",\"configurationVersion\":3}");
			assertThat(timeline.causes()).containsExactly("refused by g: no such queue, decided by configuration 3");
		}

	}

	@Nested
	class Text {

		@Test
		void combinesTheLinesOfAWideJobIntoADozenWithRangesOfTheirFields() {
			List<String> lines = new ArrayList<>(List.of("h1 " + LEARNT));
			for (int i = 0; i < 400; i++) {
				lines.add("h1 " + placed(i, 1 + i % 9, 1));
				lines.add("h1 " + ended(i, 1 + i % 9, (i % 3 == 0) ? "FAILED" : "DONE"));
			}
			lines.add("h1 " + ENDED);
			JobTimeline timeline = timeline(lines.toArray(String[]::new));
			assertThat(timeline.formatCondensed()).hasSizeLessThanOrEqualTo(12)
				.anyMatch((line) -> line.startsWith("h1: TaskPlaced (400 times) task=a.0.0.0,a.0.0.1 and 398 more "
						+ "attempt=1..9 worker=w1 fence=1 lookAgeMillis=4 waitedMillis=30"));
			assertThat(timeline.formatAll()).hasSize(802);
		}

		@Test
		void reportsATaskThatRanAgainAfterItsCompletion() {
			assertThat(timeline("h2 " + ownershipTaken(6), "h2 " + placed(0, 49, 6), "h1 " + placed(0, 1, 5),
					"h1 " + ended(0, 1, "DONE"))
				.causes())
				.contains("a.0.0.0 was placed again as attempt 49 on w6 by the owner of epoch 6 "
						+ "after attempt 1 had ended well on w1");
		}

		@Test
		void areNamedIfAFormerOwnerStartsATaskThatItsSuccessorSawEnd() {
			JobTimeline timeline = timeline("h1 " + placed(0, 1, 1), "h2 " + ownershipTaken(2),
					"h2 " + ended(0, 1, "DONE"), "h1 " + placed(0, 2, 1));
			assertThat(timeline.causes())
				.contains("a.0.0.0 was placed again as attempt 2 on w1 by h1, owner of epoch 1, "
						+ "while attempt 1 ended well on w1, as h2 learnt");
		}

		@Test
		void listsEachAttemptOfATaskThatFailedPermanently() {
			String end = ENDED.replace("COMPLETED", "FAILED");
			assertThat(timeline("h1 " + LEARNT, "h1 " + ended(0, 1, "FAILED"), "h1 " + ended(0, 2, "FAILED"),
					"h2 " + ownershipTaken(4), "h2 " + placed(0, 49, 4), "h2 " + ended(0, 49, "FAILED"), "h2 " + end)
				.causes())
				.contains("failed: 1 tasks failed, most often a.0.0.0: "
						+ "attempt 1 on w1, attempt 2 on w1, attempt 49 on w1");
		}

		@Test
		void reportsTheHostWhoseEligibilityRequestsFailed() {
			String failed = "h1 {\"at\":1,\"event\":\"EligibilityFailed\",\"job\":\"a\",\"step\":\"0.0\","
					+ "\"host\":\"h5\",\"reason\":\"no answer\"}";
			assertThat(timeline("h1 " + LEARNT, failed, failed).causes())
				.containsExactly("no line tells its end: step 0.0 was not placed: it could not be asked who may run "
						+ "it, 2 calls failed, the last by h5: no answer");
		}

		@Test
		void reportsThatNoEligibilityRequestWasSent() {
			assertThat(timeline("h1 " + LEARNT).causes()).containsExactly("no line tells its end: no step was placed, "
					+ "and no line tells that it was asked who may run the next one");
		}

		@Test
		void reportsThatNoOwnerLoadedAnAcceptedJob() {
			assertThat(timeline("g " + ANSWERED).causes())
				.containsExactly("accepted, but no line tells that an owner has learnt of it");
		}

		@Test
		void reportsTheUnavailableDependencyOfAGatewayThatCouldNotStoreAJob() {
			assertThat(timeline(
					"g {\"at\":1,\"event\":\"DependencyLost\",\"dependency\":\"storing jobs\","
							+ "\"reason\":\"the table turns reads down\"}",
					"g " + ANSWERED.replace("ACCEPTED", "NOT_ACCEPTED"))
				.causes())
				.containsExactly("answered NOT_ACCEPTED by g after 13 ms: storing jobs was lost there: "
						+ "the table turns reads down");
		}

		@Test
		void omitsDependenciesThatWereAvailableAgain() {
			assertThat(timeline("g {\"at\":1,\"event\":\"DependencyLost\",\"dependency\":\"table\",\"reason\":\"cut\"}",
					"g {\"at\":1,\"event\":\"DependencyBack\",\"dependency\":\"table\",\"outageMillis\":5}",
					"g " + ANSWERED.replace("ACCEPTED", "UNKNOWN"))
				.causes())
				.containsExactly("answered UNKNOWN by g after 13 ms: a try had no answer and none settled "
						+ "it while the caller waited");
		}

		@Test
		void doesNotReportAStepAsWaitingIfOnlyItsStartLinesAreMissing() {
			String asked = "h1 {\"at\":1,\"event\":\"EligibilityAnswered\",\"job\":\"a\",\"step\":\"0.0\","
					+ "\"host\":\"h5\",\"asked\":11,\"allowed\":7,\"tookMillis\":1084}";
			String lost = "h1 {\"at\":1,\"event\":\"TaskLost\",\"job\":\"a\",\"task\":\"a.0.0.9\",\"attempt\":1,"
					+ "\"worker\":\"w1\",\"reason\":\"neither running nor ended on its worker\"}";
			assertThat(timeline(asked, lost).causes()).containsExactly(
					"1 runs were lost with worker w1: neither running nor ended on its worker; "
							+ "a.0.0.9 was not placed again",
					"no line tells its end: no step after 0.0 was placed, and no line tells that it was asked who "
							+ "may run the next one");
		}

		@Test
		void listsAllUnavailableDependenciesOfAGateway() {
			String lost = "g {\"at\":1,\"event\":\"DependencyLost\",\"dependency\":\"%s\",\"reason\":\"cut\"}";
			assertThat(timeline(lost.formatted("table"), lost.formatted("storing jobs"),
					"g " + ANSWERED.replace("ACCEPTED", "UNKNOWN"))
				.causes())
				.containsExactly("answered UNKNOWN by g after 13 ms: table was lost there: cut; "
						+ "storing jobs was lost there: cut");
		}

		@Test
		void reportsAnUnreadableRowOfTheJob() {
			String unreadable = "{\"at\":1,\"event\":\"RowUnreadable\",\"table\":\"%s\",\"key\":\"%s\",\"reason\":\"no steps\"}";
			assertThat(timeline("h1 " + unreadable.formatted("jobs", "a"), "h1 " + unreadable.formatted("jobs", "ab"),
					"g " + ANSWERED)
				.causes()).containsExactly("left alone by h1: its row in jobs cannot be read, no steps",
						"accepted, but no line tells that an owner has learnt of it");
		}

		@Test
		void reportsUnfinishedRuns() {
			assertThat(timeline("h1 " + LEARNT, "h1 " + placed(0, 1, 1), "h1 " + placed(1, 1, 1)).causes())
				.containsExactly("no line tells its end: 2 runs were placed whose end no line tells, such as "
						+ "a.0.0.0 attempt 1 on w1");
		}

	}

}
