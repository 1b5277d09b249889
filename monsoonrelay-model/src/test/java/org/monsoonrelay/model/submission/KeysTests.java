package org.monsoonrelay.model.submission;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class KeysTests {

	private static final TaskKey TASK = new TaskKey("job", 1, 2, 3);

	private static final StepKey STEP = new StepKey("job", 1, 2);

	@Test
	void areEqualWhenAllTheirPartsAreEqual() {
		TaskKey task = TaskKey.parse("job.1.2.3");
		assertThat(task).isEqualTo(TASK).hasSameHashCodeAs(TASK);
		assertThat(task.stepKey()).isEqualTo(STEP).hasSameHashCodeAs(STEP);
		assertThat(task.stepKey().task(3)).isEqualTo(TASK);
	}

	@Test
	void differWhenOneOfTheirPartsDiffers() {
		assertThat(List.of(new TaskKey("other", 1, 2, 3), new TaskKey("job", 0, 2, 3), new TaskKey("job", 1, 0, 3),
				new TaskKey("job", 1, 2, 0)))
			.doesNotContain(TASK);
		assertThat(List.of(new StepKey("other", 1, 2), new StepKey("job", 0, 2), new StepKey("job", 1, 0)))
			.doesNotContain(STEP);
		assertThat(STEP).isNotEqualTo(TASK).isNotEqualTo(null);
	}

	@Test
	void haveDistinctHashesForMostTasksOfAJob() {
		Set<Integer> hashes = new HashSet<>();
		for (int step = 0; step < 3; step++) {
			for (int index = 0; index < 30; index++) {
				hashes.add(new TaskKey("9b886fdbda53372f", 0, step, index).hashCode());
			}
		}
		assertThat(hashes).hasSizeGreaterThanOrEqualTo(90);
	}

}
