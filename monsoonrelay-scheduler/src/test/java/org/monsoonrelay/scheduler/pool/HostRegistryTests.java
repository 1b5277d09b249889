package org.monsoonrelay.scheduler.pool;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.TableRow;
import org.monsoonrelay.logic.platform.UnreadableRows;
import org.monsoonrelay.logic.pool.HostRecord;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.host.HostAddress;

import static org.assertj.core.api.Assertions.assertThat;

class HostRegistryTests {

	private static final HostRecord SELF = new HostRecord("self", "d", "10.0.0.1:70", "life", 1, false);

	private final List<Decision> decisions = new ArrayList<>();

	private final HostRegistry registry = new HostRegistry(null, null, SELF, new HostRegistry.Listener() {

		@Override
		public void hostsChanged(List<String> hosts) {
			HostRegistryTests.this.reportedHosts = hosts;
		}

		@Override
		public void hostRestarted(String host) {
			HostRegistryTests.this.restarted.add(host);
		}

	}, new UnreadableRows(this.decisions::add));

	private final List<String> restarted = new ArrayList<>();

	private List<String> reportedHosts = List.of();

	private static TableRow row(String host, String value) {
		return new TableRow(JobTables.HOSTS, "", host, value, 1, false);
	}

	private static TableRow row(String host) {
		return row(host, Json.write(new HostRecord(host, "d", "10.0.0.2:70", "life of " + host, 1, false)));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "null", "{", "7", "{}",
			"{\"host\":\"b\",\"failureDomain\":\"d\",\"peerAddress\":\"nowhere\",\"incarnation\":\"i\"}",
			"{\"host\":\"b\",\"failureDomain\":\"d\",\"peerAddress\":null,\"incarnation\":\"i\"}",
			"{\"host\":\"b\",\"failureDomain\":\"d\",\"peerAddress\":\"10.0.0.2:70\"}",
			"{\"host\":7,\"failureDomain\":\"d\",\"peerAddress\":\"10.0.0.2:70\",\"incarnation\":\"i\"}" })
	void anUnreadableRowIsExcludedAndAllOthersAreKept(String value) {
		this.registry.snapshot("", List.of(row("a"), row("b", value), row("c")));
		assertThat(this.reportedHosts).containsExactlyInAnyOrder("self", "a", "c");
		assertThat(this.registry.addresses()).containsOnly(HostAddress.parse("10.0.0.2:70"));
		assertThat(this.decisions).hasSize(1);
	}

	@Test
	void aHostWhoseRowBecomesUnreadableIsExcludedUntilItCanBeRead() {
		this.registry.snapshot("", List.of(row("a"), row("b")));
		this.registry.changed(List.of(row("b", "{")));
		assertThat(this.reportedHosts).containsExactly("self", "a");
		this.registry.changed(List.of(row("b")));
		assertThat(this.reportedHosts).containsExactlyInAnyOrder("self", "a", "b");
		assertThat(this.restarted).isEmpty();
	}

}
