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

	private final List<String> sent = new ArrayList<>();

	private final ThrottledPeerNotifier notifier = new ThrottledPeerNotifier(new RecordingNotifier(), this.time,
			this.time.clock());

	@Test
	void sendsAnUpdateAtOnceAfterAPause() {
		this.notifier.publishStates(1, Map.of("a", SubmissionState.RUNNING), Optional.empty());
		assertThat(this.sent).containsExactly("1 {a=RUNNING} -");
		this.time.runFor(ThrottledPeerNotifier.MIN_INTERVAL_MILLIS);
		this.notifier.publishStates(1, Map.of("a", SubmissionState.COMPLETED), Optional.of(ONE));
		assertThat(this.sent).containsExactly("1 {a=RUNNING} -", "1 {a=COMPLETED} 1");
	}

	@Test
	void collectsUpdatesForNoLongerThanTheMinimumInterval() {
		this.notifier.publishStates(1, Map.of(), Optional.of(ONE));
		this.sent.clear();
		this.time.runFor(10);
		this.notifier.publishStates(1, Map.of("a", SubmissionState.RUNNING), Optional.of(TWO));
		this.time.runFor(20);
		this.notifier.publishStates(1, Map.of("a", SubmissionState.FAILED), Optional.empty());
		assertThat(this.sent).isEmpty();
		this.time.runFor(ThrottledPeerNotifier.MIN_INTERVAL_MILLIS - 30);
		assertThat(this.sent).containsExactly("1 {a=FAILED} 2");
		this.time.runFor(10 * ThrottledPeerNotifier.MIN_INTERVAL_MILLIS);
		assertThat(this.sent).hasSize(1);
	}

	@Test
	void sendsUpdatesUnderTheEpochInWhichTheyBecameDurable() {
		this.notifier.publishStates(1, Map.of(), Optional.of(ONE));
		this.notifier.publishStates(1, Map.of("a", SubmissionState.RUNNING), Optional.empty());
		this.notifier.publishStates(3, Map.of("b", SubmissionState.RUNNING), Optional.empty());
		assertThat(this.sent).containsExactly("1 {} 1", "1 {a=RUNNING} -");
		this.time.runFor(ThrottledPeerNotifier.MIN_INTERVAL_MILLIS);
		assertThat(this.sent).endsWith("3 {b=RUNNING} -");
	}

	@Test
	void sendsPendingUpdatesBeforeARelease() {
		this.notifier.publishStates(1, Map.of(), Optional.of(ONE));
		this.notifier.publishStates(1, Map.of("a", SubmissionState.RUNNING), Optional.empty());
		this.notifier.announceRelease(OwnerRecord.NEVER_OWNED, 7);
		assertThat(this.sent).containsExactly("1 {} 1", "1 {a=RUNNING} -", "released 7");
		this.time.runFor(ThrottledPeerNotifier.MIN_INTERVAL_MILLIS);
		assertThat(this.sent).hasSize(3);
	}

	@Test
	void delaysNeitherHeartbeatsNorTakeOverRequests() {
		this.notifier.publishStates(1, Map.of(), Optional.of(ONE));
		this.notifier.publishStates(1, Map.of("a", SubmissionState.RUNNING), Optional.empty());
		this.notifier.sendHeartbeat(1, 5);
		this.notifier.requestTakeOver(5);
		assertThat(this.sent).containsExactly("1 {} 1", "heartbeat 1 5", "take-over request 5");
	}

	private final class RecordingNotifier implements PeerNotifier {

		@Override
		public void sendHeartbeat(long epoch, long version) {
			ThrottledPeerNotifierTests.this.sent.add("heartbeat " + epoch + " " + version);
		}

		@Override
		public void publishStates(long epoch, Map<String, SubmissionState> states, Optional<QueueCount> pending) {
			String counted = pending.map((count) -> String.valueOf(count.summary().pending().get("q"))).orElse("-");
			ThrottledPeerNotifierTests.this.sent.add(epoch + " " + states + " " + counted);
		}

		@Override
		public void announceRelease(OwnerRecord record, long version) {
			ThrottledPeerNotifierTests.this.sent.add("released " + version);
		}

		@Override
		public void requestTakeOver(long version) {
			ThrottledPeerNotifierTests.this.sent.add("take-over request " + version);
		}

	}

}
