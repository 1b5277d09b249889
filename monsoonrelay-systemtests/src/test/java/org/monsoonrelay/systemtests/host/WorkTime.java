package org.monsoonrelay.systemtests.host;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * How long the tasks of a job work and how they end, which the job's text tells as
 * {@code LOW-HIGH} in milliseconds or {@code LOW-HIGH-HOW}. Immutable.
 *
 * @param low time that a gang works, and the least that another task does
 * @param high bound of the time that a task works
 * @param how how a task ends
 */
record WorkTime(int low, int high, String how) {

	private static final String DONE = "done";

	private static final WorkTime BRIEF = new WorkTime(40, 440, DONE);

	private static final int BRIEF_GANG_MILLIS = 200;

	static WorkTime of(JsonNode order) {
		String[] bounds = order.path("spec").asText().split("-");
		if (bounds.length < 2) {
			return BRIEF;
		}
		String how = (bounds.length > 2) ? bounds[2] : DONE;
		return new WorkTime(Integer.parseInt(bounds[0]), Integer.parseInt(bounds[1]), how);
	}

	long ofTask(String task) {
		return this.low + Math.floorMod(task.hashCode(), this.high - this.low);
	}

	long ofGang() {
		return equals(BRIEF) ? BRIEF_GANG_MILLIS : this.low;
	}

}
