package review;

import java.util.List;
import java.util.Map;

/**
 * Three executors crash one after another, each while it runs a task of the same job. No
 * task ends {@code failed}, so that no job may be shown as failed.
 */
final class Crashes {

	private static final int EXECUTORS = 8;

	private static final int TASKS = 4;

	private static final long TASK_MILLIS = 6000;

	private static final int CRASHES = 3;

	private static final long DOWN_MILLIS = 1500;

	/** Time from the start of a task to the crash. */
	private static final long AT_WORK_MILLIS = 3000;

	private Crashes() {
	}

	public static void main(String[] arguments) {
		System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
		Cell.run(arguments, 3, EXECUTORS, 16_000, true, Crashes::play);
	}

	private static List<String> play(Cell cell) throws Exception {
		String job = Client.newId();
		if (!cell.client.submit(job, Cell.job(TASKS, 12_000, TASK_MILLIS), true)) {
			throw new IllegalStateException("the job was not accepted");
		}
		String task = job + ".0.0.0";
		for (int i = 0; i < CRASHES && Cell.hasTrouble(); i++) {
			executorOf(cell, task);
			Thread.sleep(AT_WORK_MILLIS);
			executorOf(cell, task).crash(DOWN_MILLIS);
		}
		double end = cell.record.seconds() + 40;
		String state = cell.client.state(job);
		while (!List.of("completed", "failed").contains(state) && cell.record.seconds() < end) {
			Thread.sleep(300);
			state = cell.client.state(job);
		}
		Map<String, Integer> ends = cell.runs.ends(job);
		cell.record.tell("client", "GET " + job + " -> " + state + "; ends of its runs " + ends);
		return (state.equals("failed") && !ends.containsKey("failed"))
				? List.of("job " + job + " is shown as failed, and none of its runs ended failed: " + ends) : List.of();
	}

	// Waits until an executor runs the task.
	private static Executor executorOf(Cell cell, String task) throws InterruptedException {
		double end = cell.record.seconds() + 15;
		while (cell.record.seconds() < end) {
			for (Executor executor : cell.executors) {
				if (executor.isRunning(task)) {
					return executor;
				}
			}
			Thread.sleep(20);
		}
		throw new IllegalStateException("the task does not run");
	}

}
