package org.monsoonrelay.systemtests.host;

import java.util.Random;

/**
 * A job of one step. Immutable.
 *
 * @param id its id
 * @param text what is handed in
 * @param isFailing whether its tasks fail each time
 */
record RatedJob(String id, String text, boolean isFailing) {

	private static final int PERCENT = 100;

	private static final int SMALL_PERCENT = 86;

	private static final int FAILING_PERCENT = 20;

	/**
	 * Draw a job: mostly two short tasks, otherwise about ten long ones.
	 * @param random the draws
	 * @return the job
	 */
	static RatedJob draw(Random random) {
		String id = "%016x".formatted(random.nextLong());
		boolean isSmall = random.nextInt(PERCENT) < SMALL_PERCENT;
		boolean isFailing = random.nextInt(PERCENT) < FAILING_PERCENT;
		int tasks = isSmall ? 2 : random.nextInt(8, 13);
		String text = "{\"spec\": \"%s-%s\", \"steps\": [{\"count\": %d, \"cpu\": 500, \"mem_mb\": 8, \"estimate_ms\": %d}]}"
			.formatted(isSmall ? "100-600" : "1000-2600", isFailing ? "failed" : "done", tasks, isSmall ? 350 : 1800);
		return new RatedJob(id, text, isFailing);
	}

	/**
	 * Whether a state is the last one that this job has to reach.
	 * @param state the state as a host tells it
	 * @return {@code true} if so
	 */
	boolean isEnded(String state) {
		return state.contains(this.isFailing ? "\"failed\"" : "\"completed\"");
	}

}
