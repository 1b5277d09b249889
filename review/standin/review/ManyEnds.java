package review;

import java.util.ArrayList;
import java.util.List;

/**
 * Many short tasks end on executors while all machines of the system are down: more on
 * each executor than one answer lists.
 */
final class ManyEnds {

	private static final int EXECUTORS = 4;

	/** The tasks fill all executors, so that each of them has more ends than one answer lists. */
	private static final int JOBS = 32;

	private static final int TASKS_PER_JOB = 100;

	private static final int TASKS = JOBS * TASKS_PER_JOB;

	private static final long JOB_INTERVAL_MILLIS = 50;

	private static final long TASK_MILLIS = 3000;

	/** The machines are down for this long, in which all tasks end. */
	private static final long DOWN_MILLIS = 2500;

	private ManyEnds() {
	}

	public static void main(String[] arguments) {
		System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
		Cell.run(arguments, 3, EXECUTORS, 16_000, true, ManyEnds::play);
	}

	private static List<String> play(Cell cell) throws Exception {
		int first = cell.runs.startCount();
		List<String> jobs = new ArrayList<>();
		for (int i = 0; i < JOBS; i++) {
			String id = Client.newId();
			jobs.add(id);
			if (!cell.client.submit(id, Cell.job(TASKS_PER_JOB, 20, TASK_MILLIS), true)) {
				throw new IllegalStateException("a job was not accepted");
			}
			Thread.sleep(JOB_INTERVAL_MILLIS);
		}
		double end = cell.record.seconds() + 3;
		while (cell.runs.startCount() - first < TASKS && cell.record.seconds() < end) {
			Thread.sleep(20);
		}
		cell.record.tell("case", "started " + (cell.runs.startCount() - first) + " of " + TASKS + " tasks, "
				+ cell.runs.runningCount() + " run now");
		if (Cell.hasTrouble()) {
			cell.hosts.forEach((host) -> host.kill(DOWN_MILLIS));
		}
		for (String job : jobs) {
			cell.awaitState(job, "completed", 30);
		}
		// Ends that are still listed get their cursor.
		Thread.sleep(3000);
		cell.record.tell("case", "starts " + (cell.runs.startCount() - first) + " of " + TASKS + " tasks, ends done "
				+ cell.runs.endCount("done", false) + ", taken note of " + cell.runs.endCount("done", true)
				+ ", lapsed " + cell.runs.endCount("lapsed", false));
		return cell.runs.twice();
	}

}
