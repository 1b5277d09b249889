package org.monsoonrelay.logic.pool;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.platform.Json;

import static org.assertj.core.api.Assertions.assertThat;

class HostSizeTests {

	private static final HostSize LARGE = new HostSize(1.5, 200);

	@Test
	void aHostIsLargeUnlessItsProcessorsOrItsLinkAreFarSmaller() {
		assertThat(new HostSize(0.75, 100).isLargeComparedTo(LARGE)).isTrue();
		assertThat(new HostSize(0.7, 200).isLargeComparedTo(LARGE)).isFalse();
		assertThat(new HostSize(1.5, 90).isLargeComparedTo(LARGE)).isFalse();
	}

	@Test
	void allHostsAreLargeIfNoSizeIsReported() {
		assertThat(HostSize.UNKNOWN.isLargeComparedTo(HostSize.largest(List.of(HostSize.UNKNOWN, HostSize.UNKNOWN))))
			.isTrue();
	}

	@Test
	void theLargestHostIsTheBestBalancedOne() {
		HostSize manyProcessors = new HostSize(4, 10);
		HostSize muchBandwidth = new HostSize(0.2, 1000);
		HostSize balanced = new HostSize(3, 800);
		assertThat(HostSize.largest(List.of(manyProcessors, balanced, muchBandwidth))).isEqualTo(balanced);
	}

	@Test
	void theLargestHostIsLargeComparedToAllOthers() {
		List<HostSize> sizes = List.of(new HostSize(4, 10), new HostSize(0.2, 1000), new HostSize(1, 100));
		assertThat(sizes).anyMatch((size) -> size.isLargeComparedTo(HostSize.largest(sizes)));
	}

	@Test
	void aRowWithoutTheLargestSizeIsReadable() throws Exception {
		OwnerRecord read = Json.readLeniently("{\"holder\":\"a\",\"host\":\"h\",\"epoch\":3,\"workers\":[]}",
				OwnerRecord.class);
		assertThat(read.largest()).isEqualTo(HostSize.UNKNOWN);
	}

}
