package review;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * An executor leaves a start unanswered and goes down and up twice under its id, then
 * carries the start out late. Meanwhile the task runs elsewhere. With the argument
 * {@code lasting} the task lasts; otherwise it ends, and the machine that gave the order
 * is killed just after it.
 */
final class LateStart {

	private static final int EXECUTORS = 10;

	/** An executor that goes down and up by turns is down for half of its period. */
	private static final long PERIOD_MILLIS = 1400;

	private static final long DOWN_MILLIS = PERIOD_MILLIS / 2;

	private static final long TASK_MILLIS = 500;

	private LateStart() {
	}

	public static void main(String[] arguments) {
		System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
		boolean isLasting = List.of(arguments).contains("lasting");
		Cell.run(arguments, 3, EXECUTORS, 16_000, true, true, (cell) -> play(cell, isLasting));
	}

	private static List<String> play(Cell cell, boolean isLasting) throws Exception {
		String job = Client.newId();
		Host owner = owner(cell);
		if (Cell.hasTrouble()) {
			Runnable onLateStart = isLasting ? () -> {
			} : () -> owner.kill(1000);
			cell.executors.forEach((executor) -> executor.leaveStartUnanswered(job, onLateStart));
		}
		if (!cell.client.submit(job, isLasting ? lastingJob() : Cell.job(1, 1000, TASK_MILLIS), true)) {
			throw new IllegalStateException("the job was not accepted");
		}
		if (Cell.hasTrouble()) {
			Executor flapping = awaitExecutor(cell, Executor::hasLateStart);
			cell.executors.forEach((executor) -> executor.leaveStartUnanswered("", () -> {
			}));
			flapping.crash(DOWN_MILLIS);
			Thread.sleep(PERIOD_MILLIS);
			if (isLasting) {
				Executor other = awaitExecutor(cell, (executor) -> executor.isRunning(job));
				cell.record.tell("case", "the task runs on " + other.id());
			}
			else {
				cell.awaitState(job, "completed", 10);
			}
			flapping.crashAndStartLate(DOWN_MILLIS);
		}
		Thread.sleep(8_000);
		cell.record.tell("case", "GET -> " + cell.client.state(job) + "; ends of its runs " + cell.runs.ends(job));
		return cell.runs.twice();
	}

	private static String lastingJob() {
		return """
				{"spec":"600000","steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":1000,"long_running":true}]}""";
	}

	private static Host owner(Cell cell) {
		return cell.hosts.stream()
			.filter((host) -> !host.logLines("\"event\":\"OwnershipTaken\"").isEmpty())
			.findFirst()
			.orElseThrow();
	}

	private static Executor awaitExecutor(Cell cell, Predicate<Executor> condition) throws InterruptedException {
		double end = cell.record.seconds() + 15;
		while (cell.record.seconds() < end) {
			Optional<Executor> found = cell.executors.stream().filter(condition).findFirst();
			if (found.isPresent()) {
				return found.get();
			}
			Thread.sleep(5);
		}
		throw new IllegalStateException("no executor does what is awaited");
	}

}
