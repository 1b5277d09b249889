package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TakeOverPolicyTests {

	private static final HostSize LARGE = new HostSize(1.5, 200);

	private static final OwnerRecord UNOWNED = new OwnerRecord("p", "owner", 4, 7, false, List.of(), Map.of(), LARGE,
			List.of("first", "second", "third"), true, true, Map.of(), Map.of(), Map.of(), Map.of(), 0L, "");

	private static final long ALMOST_DELAY_MILLIS = TakeOverPolicy.NON_STANDBY_DELAY_MILLIS - 1;

	private final VirtualTime time = new VirtualTime();

	private TakeOverPolicy policy(String host, double processors, double linkMbps) {
		return new TakeOverPolicy(new HostRecord(host, "domain", "a:1", "life", processors, linkMbps, false),
				this.time.clock());
	}

	private long millisUntilTakeOver(TakeOverPolicy takeOver, OwnerRecord record) {
		long startMillis = this.time.millis();
		TakeOverPolicy.Action step = takeOver.nextAction(record, 1);
		while (step != TakeOverPolicy.Action.TAKE_OVER) {
			if (step == TakeOverPolicy.Action.PROBE_TABLE) {
				takeOver.recordWritable();
			}
			this.time.runFor(1);
			step = takeOver.nextAction(record, 1);
		}
		return this.time.millis() - startMillis;
	}

	@Test
	void prefersStandbysInTheirOrder() {
		assertThat(millisUntilTakeOver(policy("first", 1.5, 200), UNOWNED)).isZero();
		assertThat(millisUntilTakeOver(policy("third", 1.5, 200), UNOWNED))
			.isEqualTo(TakeOverPolicy.STANDBY_DELAY_MILLIS);
		assertThat(millisUntilTakeOver(policy("other", 1.5, 200), UNOWNED))
			.isEqualTo(2 * TakeOverPolicy.NON_STANDBY_DELAY_MILLIS);
	}

	@Test
	void delaysHostsWithFewProcessorsOrASlowLinkWhateverTheirPosition() {
		long smallHostDelayMillis = TakeOverPolicy.NON_STANDBY_DELAY_MILLIS + TakeOverPolicy.SMALL_HOST_DELAY_MILLIS;
		assertThat(millisUntilTakeOver(policy("first", 0.36, 200), UNOWNED)).isEqualTo(smallHostDelayMillis);
		assertThat(millisUntilTakeOver(policy("second", 1.5, 10), UNOWNED)).isEqualTo(smallHostDelayMillis);
		assertThat(millisUntilTakeOver(policy("other", 0.36, 10), UNOWNED)).isEqualTo(smallHostDelayMillis);
	}

	@Test
	void takesOverAtOnceWhereNoHostsAreKnown() {
		OwnerRecord withoutHosts = new OwnerRecord("p", "owner", 4, 7, false, List.of(), Map.of(), HostSize.UNKNOWN,
				List.of(), true, true, Map.of(), Map.of(), Map.of(), Map.of(), 0L, "");
		assertThat(millisUntilTakeOver(policy("other", 0.36, 10), withoutHosts)).isZero();
	}

	@Test
	void delaysOtherHostsUntilTheTableAcceptsWrites() {
		TakeOverPolicy takeOver = policy("other", 1.5, 200);
		assertThat(takeOver.nextAction(UNOWNED, 1)).isEqualTo(TakeOverPolicy.Action.WAIT);
		this.time.runFor(60_000);
		assertThat(takeOver.nextAction(UNOWNED, 1)).isEqualTo(TakeOverPolicy.Action.PROBE_TABLE);
		takeOver.recordWritable();
		assertThat(takeOver.nextAction(UNOWNED, 1)).isEqualTo(TakeOverPolicy.Action.WAIT);
		this.time.runFor(TakeOverPolicy.NON_STANDBY_DELAY_MILLIS);
		assertThat(takeOver.nextAction(UNOWNED, 1)).isEqualTo(TakeOverPolicy.Action.TAKE_OVER);
	}

	@Test
	void restartsTheWaitAfterATimeInWhichNoHostCouldTakeOver() {
		TakeOverPolicy takeOver = policy("other", 1.5, 200);
		takeOver.nextAction(UNOWNED, 1);
		this.time.runFor(ALMOST_DELAY_MILLIS);
		takeOver.recordWritable();
		this.time.runFor(ALMOST_DELAY_MILLIS);
		takeOver.reset();
		takeOver.recordWritable();
		this.time.runFor(5000);
		assertThat(millisUntilTakeOver(takeOver, UNOWNED)).isEqualTo(2 * TakeOverPolicy.NON_STANDBY_DELAY_MILLIS);
	}

	@Test
	void restartsTheWaitOnceTheRowHasChanged() {
		TakeOverPolicy takeOver = policy("other", 1.5, 200);
		takeOver.nextAction(UNOWNED, 1);
		takeOver.recordWritable();
		this.time.runFor(TakeOverPolicy.NON_STANDBY_DELAY_MILLIS);
		assertThat(takeOver.nextAction(UNOWNED, 2)).isEqualTo(TakeOverPolicy.Action.WAIT);
		this.time.runFor(TakeOverPolicy.NON_STANDBY_DELAY_MILLIS);
		assertThat(takeOver.nextAction(UNOWNED, 2)).isEqualTo(TakeOverPolicy.Action.PROBE_TABLE);
	}

}
