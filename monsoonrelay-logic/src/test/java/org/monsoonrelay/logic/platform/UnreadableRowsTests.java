package org.monsoonrelay.logic.platform;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.events.ProcessDecision;

import static org.assertj.core.api.Assertions.assertThat;

class UnreadableRowsTests {

	private final List<Decision> decisions = new ArrayList<>();

	private final UnreadableRows rows = new UnreadableRows(this.decisions::add);

	private static TableRow row(String key, String value) {
		return new TableRow("t", "p", key, value, 1, false);
	}

	@Test
	void areLoggedOncePerReasonAndCountedEachTime() {
		this.rows.report(row("k", ""), "first");
		this.rows.report(row("k", ""), "first");
		this.rows.report(row("k", ""), "second");
		this.rows.report(row("l", ""), "second");
		assertThat(this.decisions).containsExactly(new ProcessDecision.RowUnreadable("t", "k", "first"),
				new ProcessDecision.RowUnreadable("t", "k", "second"),
				new ProcessDecision.RowUnreadable("t", "l", "second"));
		assertThat(this.rows.count()).isEqualTo(4);
	}

	@Test
	void areLoggedAgainAfterTheyWereReadable() {
		this.rows.report(row("k", ""), "reason");
		assertThat(this.rows.read(row("k", "[1]"), int[].class)).isPresent();
		this.rows.report(row("k", ""), "reason");
		assertThat(this.decisions).hasSize(2);
	}

	@Test
	void areRememberedAndQuotedWithinBounds() {
		for (int i = 0; i < 5000; i++) {
			this.rows.report(row("k" + i, ""), "x".repeat(100_000));
		}
		this.rows.report(row("k4999", ""), "x".repeat(100_000));
		this.rows.report(row("k0", ""), "x".repeat(100_000));
		assertThat(this.decisions).hasSize(5001)
			.allSatisfy((decision) -> assertThat(((ProcessDecision.RowUnreadable) decision).reason()).hasSize(200));
	}

	@Test
	void includeValuesOfAnotherTypeWithoutCoercion() {
		for (String value : List.of("", "null", "\"7\"", "7.5", "7 8", "true", "[7]", "99999999999")) {
			assertThat(this.rows.read(row("k", value), Integer.class)).as(value).isEmpty();
		}
		assertThat(this.rows.read(row("k", "7"), Integer.class)).contains(7);
	}

}
