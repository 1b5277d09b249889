package review;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A job that runs at set times comes beside usual jobs, which have to be done.
 */
final class LongTimetable {

	private static final int OCCURRENCES = 96;

	private static final int STEPS = 10;

	private static final long INTERVAL_MILLIS = 250;

	private static final double TRAFFIC_SECONDS = 40;

	private static final int USUAL_TASKS = 4;

	private LongTimetable() {
	}

	public static void main(String[] arguments) {
		System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
		Cell.run(arguments, 3, 8, 16_000, true, LongTimetable::play);
	}

	private static List<String> play(Cell cell) throws Exception {
		double start = cell.record.seconds();
		Map<String, Integer> jobs = new LinkedHashMap<>();
		boolean isSent = !Cell.hasTrouble();
		while (cell.record.seconds() - start < TRAFFIC_SECONDS) {
			if (!isSent && cell.record.seconds() - start > 3) {
				isSent = true;
				String id = Client.newId();
				boolean isAccepted = cell.client.submit(id, timetabledJob(), true);
				cell.record.tell("case", "job with a timetable " + id + (isAccepted ? " accepted" : " rejected"));
			}
			String id = Client.newId();
			if (cell.client.submit(id, usualJob(), true)) {
				jobs.put(id, USUAL_TASKS);
			}
			Thread.sleep(400);
		}
		cell.record.tell("case", "end of the traffic, " + jobs.size() + " usual jobs accepted");
		List<String> broken = Finish.lost(cell, jobs);
		cell.record.tell("case", "starts " + cell.runs.startCount() + ", ends done "
				+ cell.runs.endCount("done", false) + ", taken note of " + cell.runs.endCount("done", true)
				+ "; writes refused for their size " + cell.table.refusedRows());
		return broken;
	}

	private static String usualJob() {
		return """
				{"spec":"200","steps":[{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":200},\
				{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":200,"depends_on":[0]}]}""";
	}

	// A job every quarter of an hour for a day, with a shorter interval.
	private static String timetabledJob() {
		StringBuilder steps = new StringBuilder();
		for (int i = 0; i < STEPS; i++) {
			steps.append((i > 0) ? "," : "").append("{\"count\":1,\"cpu\":200,\"mem_mb\":32,\"estimate_ms\":50}");
		}
		return "{\"spec\":\"50\",\"steps\":[%s],\"start_ms\":%d,\"interval_ms\":%d,\"repeat_count\":%d}".formatted(steps,
				System.currentTimeMillis() + 500, INTERVAL_MILLIS, OCCURRENCES);
	}

}
