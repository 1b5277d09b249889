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

class ThrottledPeerNotifierTests {

	private static final QueueCount ONE = new QueueCount(new QueueSummary(Map.of("q", 1)), 1);

	private static final QueueCount TWO = new QueueCount(new QueueSummary(Map.of("q", 2)), 2);

	private final VirtualTime time = new VirtualTime();

	private final List<String> told = new ArrayList<>();

	private final ThrottledPeerNotifier news = new ThrottledPeerNotifier(new Recorder(), this.time, this.time.clock());

	@Test
	void goOutAtOnceAfterAPause() {
		this.news.publishStates(1, Map.of("a", SubmissionState.RUNNING), Optional.empty());
		assertThat(this.told).containsExactly("1 {a=RUNNING} -");
		this.time.runFor(ThrottledPeerNotifier.MIN_INTERVAL_MILLIS);
		this.news.publishStates(1, Map.of("a", SubmissionState.COMPLETED), Optional.of(ONE));
		assertThat(this.told).containsExactly("1 {a=RUNNING} -", "1 {a=COMPLETED} 1");
	}

	@Test
	void waitForEachOtherNoLongerThanTheSpacing() {
		this.news.publishStates(1, Map.of(), Optional.of(ONE));
		this.told.clear();
		this.time.runFor(10);
		this.news.publishStates(1, Map.of("a", SubmissionState.RUNNING), Optional.of(TWO));
		this.time.runFor(20);
		this.news.publishStates(1, Map.of("a", SubmissionState.FAILED), Optional.empty());
		assertThat(this.told).isEmpty();
		this.time.runFor(ThrottledPeerNotifier.MIN_INTERVAL_MILLIS - 30);
		assertThat(this.told).containsExactly("1 {a=FAILED} 2");
		this.time.runFor(10 * ThrottledPeerNotifier.MIN_INTERVAL_MILLIS);
		assertThat(this.told).hasSize(1);
	}

	@Test
	void areToldUnderTheEpochInWhichTheyBecameDurable() {
		this.news.publishStates(1, Map.of(), Optional.of(ONE));
		this.news.publishStates(1, Map.of("a", SubmissionState.RUNNING), Optional.empty());
		this.news.publishStates(3, Map.of("b", SubmissionState.RUNNING), Optional.empty());
		assertThat(this.told).containsExactly("1 {} 1", "1 {a=RUNNING} -");
		this.time.runFor(ThrottledPeerNotifier.MIN_INTERVAL_MILLIS);
		assertThat(this.told).endsWith("3 {b=RUNNING} -");
	}

	@Test
	void areToldBeforeThePoolIsGivenUp() {
		this.news.publishStates(1, Map.of(), Optional.of(ONE));
		this.news.publishStates(1, Map.of("a", SubmissionState.RUNNING), Optional.empty());
		this.news.announceRelease(OwnerRecord.NEVER_OWNED, 7);
		assertThat(this.told).containsExactly("1 {} 1", "1 {a=RUNNING} -", "released 7");
		this.time.runFor(ThrottledPeerNotifier.MIN_INTERVAL_MILLIS);
		assertThat(this.told).hasSize(3);
	}

	@Test
	void holdUpNeitherHeartbeatsNorInvitations() {
		this.news.publishStates(1, Map.of(), Optional.of(ONE));
		this.news.publishStates(1, Map.of("a", SubmissionState.RUNNING), Optional.empty());
		this.news.sendHeartbeat(1, 5);
		this.news.requestTakeOver(5);
		assertThat(this.told).containsExactly("1 {} 1", "heartbeat 1 5", "invitation 5");
	}

	private final class Recorder implements PeerNotifier {

		@Override
		public void sendHeartbeat(long epoch, long version) {
			ThrottledPeerNotifierTests.this.told.add("heartbeat " + epoch + " " + version);
		}

		@Override
		public void publishStates(long epoch, Map<String, SubmissionState> states, Optional<QueueCount> pending) {
			String counted = pending.map((count) -> String.valueOf(count.summary().pending().get("q"))).orElse("-");
			ThrottledPeerNotifierTests.this.told.add(epoch + " " + states + " " + counted);
		}

		@Override
		public void announceRelease(OwnerRecord record, long version) {
			ThrottledPeerNotifierTests.this.told.add("released " + version);
		}

		@Override
		public void requestTakeOver(long version) {
			ThrottledPeerNotifierTests.this.told.add("invitation " + version);
		}

	}

}
