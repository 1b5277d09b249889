package org.monsoonrelay.benchmarks.capacity;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;
import static org.assertj.core.api.Assertions.within;

class SlopeTests {

	@Test
	void goesThroughMeasurementsThatLieOnALine() {
		Slope slope = Slope.through(List.of(new Point(10, 25), new Point(20, 45), new Point(40, 85)));

		assertThat(slope.perUnit()).isCloseTo(2, within(1e-9));
		assertThat(slope.base()).isCloseTo(5, within(1e-9));
		assertThat(slope.at(10_000)).isCloseTo(20_005, within(1e-6));
		assertThat(slope.misfit()).isCloseTo(0, within(1e-9));
	}

	@Test
	void tellsHowFarMeasurementsLieFromTheLine() {
		Slope slope = Slope.through(List.of(new Point(1, 1), new Point(2, 4), new Point(3, 9)));

		assertThat(slope.misfit()).isCloseTo(2.0 / 3 / 9, within(1e-9));
	}

	@Test
	void needsThreeSizes() {
		assertThatIllegalArgumentException()
			.isThrownBy(() -> Slope.through(List.of(new Point(1, 1), new Point(2, 2), new Point(2, 3))))
			.withMessageContaining("three sizes");
	}

}
