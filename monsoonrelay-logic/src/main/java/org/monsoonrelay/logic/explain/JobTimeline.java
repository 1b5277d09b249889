package org.monsoonrelay.logic.explain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;

/**
 * Timeline of one job, task or request, reconstructed from the lines of any number of
 * processes. Lines are added one at a time. Only the lines that name the id and the
 * {@link ContextLines} are kept, both up to a bound. Not thread-safe.
 */
public final class JobTimeline {

	/** Lines kept for the id at most; a job of 2,000 tasks writes about 6,000. */
	private static final int MAX_JOB_LINES = 20_000;

	/** Number of parts in a task key. */
	private static final int TASK_PARTS = 4;

	private static final String OMITTED_LINES_EVENT = "\"LinesLeftOut\"";

	private final String id;

	private final String job;

	private final Map<String, LogLineParser> readers = new HashMap<>();

	private final List<EpochLine> jobLines = new ArrayList<>();

	private final ContextLines contextLines = new ContextLines();

	private final Map<String, Long> epochs = new HashMap<>();

	private long readLines;

	private long truncatedLines;

	private long truncatedJobLines;

	private long omittedLines;

	/**
	 * Create an empty timeline.
	 * @param id id of a job, task or request
	 */
	public JobTimeline(String id) {
		this.id = id;
		String[] parts = id.split("\\.");
		this.job = (parts.length == TASK_PARTS) ? parts[0] : id;
	}

	/**
	 * Add a line. Lines of one input have to be added in their order.
	 * @param input name of the input that the line was read from
	 * @param text the line, with or without a prefix before its JSON
	 */
	public void addLine(String input, String text) {
		this.readLines++;
		if (text.contains(this.job) || text.contains(OMITTED_LINES_EVENT) || ContextLines.mayBeRelevant(text)) {
			Optional<LogLine> line = this.readers.computeIfAbsent(input, LogLineParser::new)
				.parse(text, this.readLines);
			line.ifPresentOrElse(this::addLine, () -> countTruncated(text));
		}
		else if (text.contains("{\"at\"") && !text.endsWith("}")) {
			this.truncatedLines++;
		}
	}

	private void countTruncated(String text) {
		if (text.contains("{\"")) {
			this.truncatedLines++;
			boolean isNamed = text.contains('"' + this.id + '"') || text.contains('"' + this.id + '.');
			this.truncatedJobLines += isNamed ? 1 : 0;
		}
	}

	private void addLine(LogLine line) {
		if (line.isEvent(PoolDecision.OwnershipTaken.class)) {
			this.epochs.put(line.source(), line.value("epoch"));
		}
		else if (line.isEvent(JobDecision.TaskPlaced.class)) {
			this.epochs.put(line.source(), line.value("fence"));
		}
		if (concernsId(line)) {
			if (this.jobLines.size() < MAX_JOB_LINES) {
				boolean isOwnerLine = !EventCategories.isIndependentOfOwner(line);
				this.jobLines.add(new EpochLine(line, isOwnerLine ? epoch(line) : EpochLine.NO_EPOCH));
			}
			else {
				this.omittedLines++;
			}
		}
		else if ("LinesLeftOut".equals(line.event())) {
			this.omittedLines += line.value("count");
		}
		else {
			this.contextLines.add(
					new EpochLine(line, EventCategories.isIndependentOfOwner(line) ? EpochLine.NO_EPOCH : epoch(line)));
		}
	}

	private long epoch(LogLine line) {
		return this.epochs.getOrDefault(line.source(), EpochLine.NO_EPOCH);
	}

	private boolean concernsId(LogLine line) {
		if (!line.text("job").equals(this.job)) {
			return pathNamesId(line.text("request")) || pathNamesId(line.text("key"));
		}
		if (this.job.equals(this.id)) {
			return true;
		}
		String step = line.step();
		boolean isOther = line.hasField("task") && !line.text("task").equals(this.id);
		return !isOther && (step.isEmpty() || this.id.startsWith(this.job + '.' + step + '.'));
	}

	// The path is that of a request, or the key of a row.
	private boolean pathNamesId(String path) {
		return path.equals(this.id) || path.endsWith('/' + this.id) || path.startsWith(this.id + '/');
	}

	/**
	 * Whether any line names the id.
	 * @return {@code false} if the timeline is empty
	 */
	public boolean isFound() {
		return !this.jobLines.isEmpty();
	}

	/**
	 * The lines of the timeline.
	 * @return the lines, causes first
	 */
	public List<LogLine> lines() {
		return orderedLines().stream().map(EpochLine::line).toList();
	}

	private List<EpochLine> orderedLines() {
		List<EpochLine> all = new ArrayList<>(EpochInference.inferMissing(this.jobLines));
		all.addAll(this.contextLines.relevantTo(all));
		all.sort((one, other) -> Long.compare(one.line().number(), other.line().number()));
		return CausalOrder.sort(all);
	}

	/**
	 * Format the timeline with similar lines combined, in about a dozen lines.
	 * @return the formatted lines
	 */
	public List<String> formatCondensed() {
		return TimelineFormatter.formatCondensed(orderedLines());
	}

	/**
	 * Format the timeline with one line for each line that was read.
	 * @return the formatted lines
	 */
	public List<String> formatAll() {
		return TimelineFormatter.formatAll(orderedLines());
	}

	/**
	 * Explain the outcome and its causes.
	 * @return a few sentences
	 */
	public List<String> causes() {
		return new CauseFinder(lines()).causes();
	}

	/**
	 * Describe which data may be missing from the timeline.
	 * @return a few sentences, none if nothing is known to be missing
	 */
	public List<String> missingData() {
		List<String> gaps = new ArrayList<>();
		if (this.truncatedLines > 0) {
			gaps.add(this.truncatedLines + " lines are cut, " + this.truncatedJobLines + " of them name " + this.id);
		}
		if (this.omittedLines > 0) {
			gaps.add(this.omittedLines + " lines of all jobs were left out by their bounds: steps may be missing");
		}
		return gaps;
	}

	/**
	 * Number of lines that were added, including those that were not kept.
	 * @return the count
	 */
	public long readCount() {
		return this.readLines;
	}

}
