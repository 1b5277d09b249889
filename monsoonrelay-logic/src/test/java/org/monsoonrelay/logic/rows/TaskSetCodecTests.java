package org.monsoonrelay.logic.rows;

import java.util.BitSet;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class TaskSetCodecTests {

	private static final int TASKS = 8000;

	/** Size of a bit set of all tasks in Base64, and its mark, characters. */
	private static final int MAX_CHARACTERS = TASKS / 6 + 3;

	private static BitSet random(Random random) {
		BitSet tasks = new BitSet();
		double share = Math.pow(10, -4 * random.nextDouble());
		for (int task = 0; task < TASKS; task++) {
			if (random.nextDouble() < share) {
				int end = Math.min(TASKS, task + 1 + (random.nextBoolean() ? random.nextInt(200) : 0));
				tasks.set(task, end);
			}
		}
		return tasks;
	}

	@Property(tries = 500, seed = "7")
	void setsAreReadAsTheyWereWrittenAndBoundedInSize(@ForAll Random random) {
		BitSet tasks = random(random);
		String text = TaskSetCodec.encode(tasks);
		assertThat(TaskSetCodec.decode(text, TASKS)).isEqualTo(tasks);
		assertThat(text.length()).isLessThanOrEqualTo(MAX_CHARACTERS);
	}

	@Property(tries = 200, seed = "7")
	void scatteredTasksTakeAtMostThreeCharactersEach(@ForAll Random random) {
		BitSet tasks = new BitSet();
		for (int i = 0; i < 16; i++) {
			tasks.set(random.nextInt(TASKS));
		}
		assertThat(TaskSetCodec.encode(tasks).length()).isLessThanOrEqualTo(1 + 3 * tasks.cardinality());
	}

	@Test
	void allTasksTakeAFewCharacters() {
		BitSet tasks = new BitSet();
		tasks.set(0, TASKS);
		assertThat(TaskSetCodec.encode(tasks)).hasSizeLessThan(6);
		assertThat(TaskSetCodec.encode(new BitSet())).hasSize(1);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "x", "r~", "rg", "r________", "b*", "r9999", "b______________" })
	void malformedTextIsRefused(String text) {
		assertThatIllegalArgumentException().isThrownBy(() -> TaskSetCodec.decode(text, 60));
	}

}
