package org.monsoonrelay.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.monsoonrelay.adapters.operator.EditReply;
import org.monsoonrelay.adapters.operator.EditReply.Outcome;
import org.monsoonrelay.adapters.operator.EditRequest;
import org.monsoonrelay.adapters.operator.StateMessage;
import org.monsoonrelay.logic.control.AuditPage;
import org.monsoonrelay.logic.queue.JobStatus;
import org.monsoonrelay.logic.queue.WaitReason;
import org.monsoonrelay.logic.text.TextFault;
import org.monsoonrelay.model.control.EditKind;
import org.monsoonrelay.model.control.EditRecord;
import org.monsoonrelay.model.control.EditResult;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.job.TaskState;
import org.monsoonrelay.model.workload.WorkloadKind;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

class CommandLineTests {

	private static final Path EXAMPLE = Path.of("..", "examples", "pelo-fino.json");

	private static final Instant NOW = Instant.parse("2026-12-03T06:00:00Z");

	private final OperatorServerFake host = new OperatorServerFake();

	private final FakePacer pacer = new FakePacer();

	private final StringWriter out = new StringWriter();

	private final StringWriter err = new StringWriter();

	@TempDir
	private Path folder;

	private String text;

	@BeforeEach
	void read() throws IOException {
		this.text = Files.readString(EXAMPLE);
	}

	@AfterEach
	void close() {
		this.host.close();
	}

	private int runAt(String hosts, String token, String... arguments) {
		CommandLine line = MonsoonrelayMain.commandLine(this.pacer, () -> NOW, InputStream.nullInputStream());
		line.setOut(new PrintWriter(this.out));
		line.setErr(new PrintWriter(this.err));
		List<String> all = new ArrayList<>(List.of(arguments));
		all.addAll(List.of("--host", hosts, "--token", token));
		return line.execute(all.toArray(String[]::new));
	}

	private int run(String... arguments) {
		return runAt(this.host.address.toString(), OperatorServerFake.TOKEN, arguments);
	}

	private String out() {
		return this.out.toString();
	}

	private String err() {
		return this.err.toString();
	}

	private void inForce(String present) {
		this.host.state = new StateMessage(7, 7, present, List.of());
	}

	@Nested
	class Apply {

		@Test
		void showsWhatChangesAndSubmitsAgainstTheVersionShown() {
			inForce(CommandLineTests.this.text.replace("\"replicas\": 6", "\"replicas\": 8"));
			CommandLineTests.this.host.replies.add(OperatorServerFake.reply(Outcome.ACCEPTED, 8, ""));

			assertThat(run("apply", EXAMPLE.toString())).isZero();
			assertThat(out().lines()).containsExactly("changes to the text of version 7:",
					"~ services salon-desk /replicas: 8 -> 6", "accepted as version 8");
			assertThat(CommandLineTests.this.host.edits).singleElement()
				.extracting(EditRequest::expectedTextVersion)
				.isEqualTo(7L);
		}

		@Test
		void dryRunSubmitsNothing() {
			assertThat(run("apply", "--dry-run", EXAMPLE.toString())).isZero();
			assertThat(out()).contains("+ jobs loyalty-recompute@2026-12-02");
			assertThat(CommandLineTests.this.host.edits).isEmpty();
		}

		@Test
		void textThatIsInForceIsNoChange() {
			inForce(CommandLineTests.this.text);

			assertThat(run("apply", EXAMPLE.toString())).isZero();
			assertThat(out()).contains("no change: the text is in force already");
			assertThat(CommandLineTests.this.host.edits).isEmpty();
		}

		@Test
		void sameTextStartsWhatIsStopped() {
			CommandLineTests.this.host.state = new StateMessage(8, 7, CommandLineTests.this.text, List.of("roster"));
			CommandLineTests.this.host.replies.add(OperatorServerFake.reply(Outcome.ACCEPTED, 9, ""));

			assertThat(run("apply", EXAMPLE.toString())).isZero();
			assertThat(out()).contains("~ no longer stopped: roster");
		}

		@Test
		void conflictNamesTheWinner() {
			EditRecord winner = new EditRecord(8, "e8", EditKind.APPLY, "biju", NOW, List.of(), "d",
					EditResult.ACCEPTED);
			CommandLineTests.this.host.replies.add(new EditReply(Outcome.CONFLICT, 0, winner, List.of(), ""));

			assertThat(run("apply", EXAMPLE.toString())).isEqualTo(4);
			assertThat(err()).contains("biju came first with version 8");
		}

		@Test
		void waitTellsWhoIsMissingUntilAllHaveIt() {
			CommandLineTests.this.host.replies.add(OperatorServerFake.reply(Outcome.ACCEPTED, 8, ""));
			for (int poll = 0; poll < 12; poll++) {
				CommandLineTests.this.host.versionsOfPeer.add(0, 7L);
			}
			CommandLineTests.this.host.versionsOfPeer.set(12, 8L);

			assertThat(run("apply", "--wait", EXAMPLE.toString())).isZero();
			assertThat(err().lines()).containsExactly("waiting for 2 s; not in force yet on: 10.0.0.9:7000 (version 7)",
					"version 8 is in force on all processes");
		}

		@Test
		void waitThatEndsNamesWhoIsMissing() {
			CommandLineTests.this.host.replies.add(OperatorServerFake.reply(Outcome.ACCEPTED, 8, ""));

			assertThat(run("apply", "--wait", "--timeout", "1", EXAMPLE.toString())).isOne();
			assertThat(err()).contains("accepted but not in force yet on: 10.0.0.9:7000 (version 0)");
		}

	}

	@Nested
	class Hosts {

		private final String down = "127.0.0.1:" + OperatorServerFake.freePort();

		@Test
		void nextOneIsTriedWhenOneIsDown() {
			assertThat(runAt(this.down + "," + CommandLineTests.this.host.address, OperatorServerFake.TOKEN, "report"))
				.isZero();
		}

		@Test
		void nextOneGetsTheSameEditWhenOneIsCutOffFromThePlatform() {
			try (OperatorServerFake cut = new OperatorServerFake()) {
				cut.replies.add(OperatorServerFake.reply(Outcome.UNSETTLED, 0, "lost"));
				CommandLineTests.this.host.replies.add(OperatorServerFake.reply(Outcome.ACCEPTED, 3, ""));

				assertThat(runAt(cut.address + "," + CommandLineTests.this.host.address, OperatorServerFake.TOKEN,
						"stop", "salon-desk"))
					.isZero();
				assertThat(CommandLineTests.this.host.edits).isEqualTo(cut.edits);
			}
		}

		@Test
		void noneThatAnswersIsUnreachable() {
			assertThat(runAt(this.down, OperatorServerFake.TOKEN, "stop", "salon-desk")).isEqualTo(3);
			assertThat(err().lines()).hasSize(1);
		}

		@Test
		void editWhoseAnswerWasLostIsUnknown() {
			CommandLineTests.this.host.failsAfterTheEdit = true;

			assertThat(runAt(CommandLineTests.this.host.address + "," + this.down, OperatorServerFake.TOKEN, "stop",
					"salon-desk"))
				.isEqualTo(5);
			assertThat(err()).startsWith("unknown whether accepted: ");
		}

		@Test
		void wrongCredentialIsSaidInOneLine() {
			assertThat(runAt(CommandLineTests.this.host.address.toString(), "guess", "status")).isOne();
			assertThat(err()).isEqualTo("monsoonrelay status: " + CommandLineTests.this.host.address
					+ ": the credential is missing or wrong" + System.lineSeparator());
		}

	}

	@Nested
	class Reading {

		private void roster(Instant finished, WaitReason reason, TaskState state) {
			inForce(CommandLineTests.this.text);
			CommandLineTests.this.host.jobs = List.of(new JobStatus(new JobId("roster", "2026-12-02"),
					WorkloadKind.BATCH, "salons", 40, Map.of(state, 40), reason, List.of(), finished));
		}

		@Test
		void targetIsMetMissedOrUnknownButNeverGuessed() {
			roster(Instant.parse("2026-12-03T04:59:59Z"), WaitReason.NONE, TaskState.FINISHED);
			run("report");
			roster(Instant.parse("2026-12-03T05:00:01Z"), WaitReason.NONE, TaskState.FINISHED);
			run("report");
			roster(null, WaitReason.QUOTA, TaskState.WAITING);
			run("report");
			roster(null, WaitReason.RECOVERING, TaskState.WAITING);
			run("report");

			List<String> lines = out().lines().toList();
			assertThat(lines).filteredOn((line) -> line.startsWith("roster@2026-12-02 roster-ready: "))
				.containsExactly("roster@2026-12-02 roster-ready: met (finished at 2026-12-03T04:59:59Z)",
						"roster@2026-12-02 roster-ready: missed, penalty 50000 cents (finished at 2026-12-03T05:00:01Z)",
						"roster@2026-12-02 roster-ready: missed, penalty 50000 cents (not finished yet)",
						"roster@2026-12-02 roster-ready: unknown (the queue's owner is still learning what has run)");
			assertThat(lines).contains("packing: unknown", "waiting: 40 tasks (QUOTA)",
					"loyalty-recompute@2026-12-02 points-settled: unknown (no owner of the team's queue has told)");
		}

		@Test
		void statusGivesTheReasonOfEachWait() {
			roster(null, WaitReason.NO_ROOM, TaskState.WAITING);

			assertThat(run("status", "roster")).isZero();
			assertThat(out()).contains("BATCH roster@2026-12-02 team=salons {WAITING=40} waits: no room");
			assertThat(run("status", "rooster")).isOne();
			assertThat(err()).contains("'rooster' is not declared");
		}

		@Test
		void auditPassesItsFiltersOnAndNamesTheNextPage() {
			CommandLineTests.this.host.page = new AuditPage(List
				.of(new EditRecord(8, "e8", EditKind.STOP, "ana", NOW, List.of("roster"), "d", EditResult.REFUSED)),
					"000000000008/e8");

			assertThat(run("audit", "--operator", "ana", "--kind", "stop", "--limit", "1", "--after", "7")).isZero();
			assertThat(CommandLineTests.this.host.queries).containsExactly("?limit=1&after=7&operator=ana&kind=STOP");
			assertThat(out()).startsWith("8 2026-12-03T06:00:00Z ana STOP roster REFUSED");
			assertThat(err()).contains("--after 000000000008/e8");
		}

	}

	@Nested
	class Complaints {

		@Test
		void refusedTargetIsNamedWithItsPlace() {
			CommandLineTests.this.host.replies.add(new EditReply(Outcome.INVALID, 0, null,
					List.of(new TextFault("/targets/0", "'rooster' is not declared in the text in force")), ""));

			assertThat(run("stop", "rooster")).isEqualTo(2);
			assertThat(err()).contains("refused: /targets/0: 'rooster'");
		}

		@Test
		void checkNamesEveryFaultOffline() throws IOException {
			Path bad = Files.writeString(CommandLineTests.this.folder.resolve("bad.json"),
					CommandLineTests.this.text.replace("\"salons\", \"replicas\"", "\"saloons\", \"replica\""));
			StringWriter lines = CommandLineTests.this.out;
			CommandLine line = MonsoonrelayMain.commandLine(Pacer.SYSTEM, () -> NOW, InputStream.nullInputStream())
				.setOut(new PrintWriter(lines));

			assertThat(line.execute("check", bad.toString())).isEqualTo(2);
			assertThat(lines.toString().lines()).containsExactly(bad + ": /services/0: 'replicas' is missing",
					bad + ": /services/0/replica: unknown key",
					bad + ": /services/0/team: team 'saloons' is not declared");
		}

		@Test
		void wrongOptionIsOneLineAndCompletionIsWritten() {
			assertThat(run("status", "--colour")).isEqualTo(2);
			assertThat(err().lines()).hasSize(1);
			CommandLine line = MonsoonrelayMain.commandLine(Pacer.SYSTEM, () -> NOW, InputStream.nullInputStream());
			assertThat(line.setOut(new PrintWriter(CommandLineTests.this.out)).execute("generate-completion")).isZero();
			assertThat(out()).contains("complete -F", "--expect-version");
		}

	}

	private static final class FakePacer implements Pacer {

		private long now;

		@Override
		public long nanoTime() {
			return this.now;
		}

		@Override
		public void pause(Duration length) {
			this.now += length.toNanos();
		}

	}

}
