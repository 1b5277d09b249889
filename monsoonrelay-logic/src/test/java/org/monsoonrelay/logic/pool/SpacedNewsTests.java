package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.submission.QueueCount;
import org.monsoonrelay.logic.submission.QueueSummary;
import org.monsoonrelay.model.submission.SubmissionState;

import static org.assertj.core.api.Assertions.assertThat;

class SpacedNewsTests {

	private static final QueueCount ONE = new QueueCount(new QueueSummary(Map.of("q", 1)), 1);

	private static final QueueCount TWO = new QueueCount(new QueueSummary(Map.of("q", 2)), 2);

	private final VirtualTime time = new VirtualTime();

	private final List<String> told = new ArrayList<>();

	private final SpacedNews news = new SpacedNews(new Recorder(), this.time, this.time.clock());

	@Test
	void goOutAtOnceAfterAPause() {
		this.news.durable(1, Map.of("a", SubmissionState.RUNNING), Optional.empty());
		assertThat(this.told).containsExactly("1 {a=RUNNING} -");
		this.time.runFor(SpacedNews.SPACING_MILLIS);
		this.news.durable(1, Map.of("a", SubmissionState.COMPLETED), Optional.of(ONE));
		assertThat(this.told).containsExactly("1 {a=RUNNING} -", "1 {a=COMPLETED} 1");
	}

	@Test
	void waitForEachOtherNoLongerThanTheSpacing() {
		this.news.durable(1, Map.of(), Optional.of(ONE));
		this.told.clear();
		this.time.runFor(10);
		this.news.durable(1, Map.of("a", SubmissionState.RUNNING), Optional.of(TWO));
		this.time.runFor(20);
		this.news.durable(1, Map.of("a", SubmissionState.FAILED), Optional.empty());
		assertThat(this.told).isEmpty();
		this.time.runFor(SpacedNews.SPACING_MILLIS - 30);
		assertThat(this.told).containsExactly("1 {a=FAILED} 2");
		this.time.runFor(10 * SpacedNews.SPACING_MILLIS);
		assertThat(this.told).hasSize(1);
	}

	@Test
	void areToldUnderTheEpochInWhichTheyBecameDurable() {
		this.news.durable(1, Map.of(), Optional.of(ONE));
		this.news.durable(1, Map.of("a", SubmissionState.RUNNING), Optional.empty());
		this.news.durable(3, Map.of("b", SubmissionState.RUNNING), Optional.empty());
		assertThat(this.told).containsExactly("1 {} 1", "1 {a=RUNNING} -");
		this.time.runFor(SpacedNews.SPACING_MILLIS);
		assertThat(this.told).endsWith("3 {b=RUNNING} -");
	}

	@Test
	void areToldBeforeThePoolIsGivenUp() {
		this.news.durable(1, Map.of(), Optional.of(ONE));
		this.news.durable(1, Map.of("a", SubmissionState.RUNNING), Optional.empty());
		this.news.released(OwnerRecord.NONE, 7);
		assertThat(this.told).containsExactly("1 {} 1", "1 {a=RUNNING} -", "released 7");
		this.time.runFor(SpacedNews.SPACING_MILLIS);
		assertThat(this.told).hasSize(3);
	}

	@Test
	void holdUpNeitherHeartbeatsNorInvitations() {
		this.news.durable(1, Map.of(), Optional.of(ONE));
		this.news.durable(1, Map.of("a", SubmissionState.RUNNING), Optional.empty());
		this.news.heartbeat(1, 5);
		this.news.inviteTakeOver(5);
		assertThat(this.told).containsExactly("1 {} 1", "heartbeat 1 5", "invitation 5");
	}

	private final class Recorder implements OwnerPeers {

		@Override
		public void heartbeat(long epoch, long version) {
			SpacedNewsTests.this.told.add("heartbeat " + epoch + " " + version);
		}

		@Override
		public void durable(long epoch, Map<String, SubmissionState> states, Optional<QueueCount> pending) {
			String counted = pending.map((count) -> String.valueOf(count.summary().pending().get("q"))).orElse("-");
			SpacedNewsTests.this.told.add(epoch + " " + states + " " + counted);
		}

		@Override
		public void released(OwnerRecord record, long version) {
			SpacedNewsTests.this.told.add("released " + version);
		}

		@Override
		public void inviteTakeOver(long version) {
			SpacedNewsTests.this.told.add("invitation " + version);
		}

	}

}
