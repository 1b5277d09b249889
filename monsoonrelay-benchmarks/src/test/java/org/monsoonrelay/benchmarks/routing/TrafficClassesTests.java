package org.monsoonrelay.benchmarks.routing;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.routing.LeastExpectedLoadSelector;
import org.monsoonrelay.logic.routing.RefusalBackoff;
import org.monsoonrelay.model.request.TrafficClass;

import static org.assertj.core.api.Assertions.assertThat;

class TrafficClassesTests {

	private static final ModelTraffic DESK = ModelTraffic.desk(0.3);

	private static final ModelTraffic BATCH = new ModelTraffic(TrafficClass.BATCH, 1.5, Duration.ofSeconds(1));

	private static final Map<TrafficClass, ModelResult> RESULTS = new RoutingModel(ModelCell.today(false, 4, 7),
			RefusalBackoff.DEFAULT, LeastExpectedLoadSelector::new)
		.run(List.of(DESK, BATCH));

	@Nested
	class WhileBatchCallersFlood {

		private final ModelResult desk = RESULTS.get(TrafficClass.DESK);

		@Test
		void allDeskLookupsAreRun() {
			assertThat(this.desk.notRunShare()).isZero();
		}

		@Test
		void deskLookupsWaitAFractionOfAServiceTime() {
			assertThat(this.desk.waitingMillis(99) / 20).isLessThan(0.5);
		}

		@Test
		void batchCallersAreTheOnesThatAreShed() {
			assertThat(RESULTS.get(TrafficClass.BATCH).notRunShare()).isBetween(0.45, 0.65);
		}

	}

}
