package org.monsoonrelay.logic.explain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;

/**
 * What the lines of any number of processes say of one job, task or request. Lines are
 * taken one at a time; kept are those that name the id and, up to a bound, those that say
 * what became of owners, workers and dependencies. Not thread-safe.
 */
public final class JobStory {

	/** Lines of the id that are kept at most; a job of 2,000 tasks writes some 6,000. */
	private static final int MOST_OWN = 20_000;

	/** Parts of the name of a task. */
	private static final int TASK_PARTS = 4;

	private static final String LEFT_OUT = "\"LinesLeftOut\"";

	private final String id;

	private final String job;

	private final Map<String, LineReader> readers = new HashMap<>();

	private final List<Told> own = new ArrayList<>();

	private final Surroundings surroundings = new Surroundings();

	private final Map<String, Long> epochs = new HashMap<>();

	private long read;

	private long cut;

	private long cutOwn;

	private long leftOut;

	/**
	 * Begin a story.
	 * @param id id of a job, task or request
	 */
	public JobStory(String id) {
		this.id = id;
		String[] parts = id.split("\\.");
		this.job = (parts.length == TASK_PARTS) ? parts[0] : id;
	}

	/**
	 * Take in a line.
	 * @param input name of what it was read from
	 * @param text the line, with or without something before its JSON
	 */
	public void take(String input, String text) {
		this.read++;
		if (text.contains(this.job) || text.contains(LEFT_OUT) || Surroundings.mayConcern(text)) {
			Optional<LogLine> line = this.readers.computeIfAbsent(input, LineReader::new).read(text, this.read);
			line.ifPresentOrElse(this::take, () -> noteCut(text));
		}
		else if (text.contains("{\"at\"") && !text.endsWith("}")) {
			this.cut++;
		}
	}

	private void noteCut(String text) {
		if (text.contains("{\"")) {
			this.cut++;
			boolean isNamed = text.contains('"' + this.id + '"') || text.contains('"' + this.id + '.');
			this.cutOwn += isNamed ? 1 : 0;
		}
	}

	private void take(LogLine line) {
		if (line.is(PoolDecision.OwnershipTaken.class)) {
			this.epochs.put(line.source(), line.value("epoch"));
		}
		else if (line.is(JobDecision.TaskPlaced.class)) {
			this.epochs.put(line.source(), line.value("fence"));
		}
		if (isOwn(line)) {
			if (this.own.size() < MOST_OWN) {
				boolean isOwners = !Vocabulary.isGateways(line);
				this.own.add(new Told(line, isOwners ? epoch(line) : Told.NONE));
			}
			else {
				this.leftOut++;
			}
		}
		else if ("LinesLeftOut".equals(line.event())) {
			this.leftOut += line.value("count");
		}
		else {
			this.surroundings.take(new Told(line, Vocabulary.isGateways(line) ? Told.NONE : epoch(line)));
		}
	}

	private long epoch(LogLine line) {
		return this.epochs.getOrDefault(line.source(), Told.NONE);
	}

	private boolean isOwn(LogLine line) {
		if (!line.text("job").equals(this.job)) {
			return isOf(line.text("request")) || isOf(line.text("key"));
		}
		if (this.job.equals(this.id)) {
			return true;
		}
		String step = line.step();
		boolean isOther = line.has("task") && !line.text("task").equals(this.id);
		return !isOther && (step.isEmpty() || this.id.startsWith(this.job + '.' + step + '.'));
	}

	// The path of a request, or the key of a row.
	private boolean isOf(String path) {
		return path.equals(this.id) || path.endsWith('/' + this.id) || path.startsWith(this.id + '/');
	}

	/**
	 * Whether any line names the id.
	 * @return {@code false} if there is nothing to tell
	 */
	public boolean isFound() {
		return !this.own.isEmpty();
	}

	/**
	 * The lines that tell the story, causes first.
	 * @return the lines
	 */
	public List<LogLine> lines() {
		return ordered().stream().map(Told::line).toList();
	}

	private List<Told> ordered() {
		List<Told> all = new ArrayList<>(Epochs.completed(this.own));
		all.addAll(this.surroundings.of(all));
		all.sort((one, other) -> Long.compare(one.line().number(), other.line().number()));
		return CauseOrder.of(all);
	}

	/**
	 * The story in a dozen lines, alike ones folded.
	 * @return the lines
	 */
	public List<String> folded() {
		return StoryText.folded(ordered());
	}

	/**
	 * The story with one line for each that was read.
	 * @return the lines
	 */
	public List<String> whole() {
		return StoryText.whole(ordered());
	}

	/**
	 * What it came to, and why.
	 * @return a few lines
	 */
	public List<String> causes() {
		return new CauseFinder(lines()).causes();
	}

	/**
	 * What may be missing.
	 * @return a few lines, none if nothing is known to be missing
	 */
	public List<String> gaps() {
		List<String> gaps = new ArrayList<>();
		if (this.cut > 0) {
			gaps.add(this.cut + " lines are cut, " + this.cutOwn + " of them name " + this.id);
		}
		if (this.leftOut > 0) {
			gaps.add(this.leftOut + " lines of all jobs were left out by their bounds: steps may be missing");
		}
		return gaps;
	}

	/**
	 * How many lines were taken.
	 * @return the number
	 */
	public long readCount() {
		return this.read;
	}

}
