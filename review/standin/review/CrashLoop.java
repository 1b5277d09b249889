package review;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The tasks of a lasting job fail soon after each start, beside usual jobs, which have to
 * be done.
 */
final class CrashLoop {

	private static final int LASTING_STEPS = 2;

	private static final int LASTING_TASKS = 48;

	private static final int USUAL_TASKS = 4;

	private static final double TRAFFIC_SECONDS = 55;

	private CrashLoop() {
	}

	public static void main(String[] arguments) {
		System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
		Cell.run(arguments, 3, 8, 16_000, false, CrashLoop::play);
	}

	private static List<String> play(Cell cell) throws Exception {
		double start = cell.record.seconds();
		Map<String, Integer> jobs = new LinkedHashMap<>();
		String lasting = Client.newId();
		boolean isSent = !Cell.hasTrouble();
		double reported = start;
		while (cell.record.seconds() - start < TRAFFIC_SECONDS) {
			if (!isSent && cell.record.seconds() - start > 3) {
				isSent = true;
				boolean isAccepted = cell.client.submit(lasting, lastingJob(), true);
				cell.record.tell("case", "lasting job " + lasting + (isAccepted ? " accepted" : " rejected"));
			}
			String id = Client.newId();
			if (cell.client.submit(id, usualJob(), true)) {
				jobs.put(id, USUAL_TASKS);
			}
			if (cell.record.seconds() - reported > 5) {
				reported = cell.record.seconds();
				cell.record.tell("case", "failed runs " + cell.runs.endCount("failed", false) + ", taken note of "
						+ cell.runs.endCount("failed", true) + "; writes refused " + cell.table.refusedRows());
			}
			Thread.sleep(400);
		}
		cell.record.tell("case", "end of the traffic, " + jobs.size() + " usual jobs accepted");
		List<String> broken = Finish.lost(cell, jobs);
		cell.record.tell("case", "failed runs " + cell.runs.endCount("failed", false) + ", writes refused for their size "
				+ cell.table.refusedRows());
		return broken;
	}

	private static String usualJob() {
		return """
				{"spec":"200","steps":[{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":200},\
				{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":200,"depends_on":[0]}]}""";
	}

	private static String lastingJob() {
		String step = """
				{"count":%d,"cpu":500,"mem_mb":64,"estimate_ms":1000,"long_running":true}""".formatted(LASTING_TASKS);
		return "{\"spec\":\"30 failed\",\"steps\":[" + String.join(",", Collections.nCopies(LASTING_STEPS, step))
				+ "]}";
	}

}
