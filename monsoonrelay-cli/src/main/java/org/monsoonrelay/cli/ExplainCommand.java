package org.monsoonrelay.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.logic.explain.JobTimeline;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Tells the story of one job from the output of the cell's processes.
 */
@Command(name = "explain", mixinStandardHelpOptions = true,
		description = "Tell from log lines what became of a job, a task or a request, and why.",
		footer = { "", "Lines of several processes are ordered by what they name, not by their times.", "", "Examples:",
				"  monsoonrelay explain 5c0e7a21d94b36f8 host-*.log",
				"  collected-lines | monsoonrelay explain 5c0e7a21d94b36f8.0.1.3" })
final class ExplainCommand implements Callable<Integer> {

	private static final String STANDARD_INPUT = "-";

	private final InputStream input;

	@Parameters(index = "0", paramLabel = "ID", description = "A job, a task (job.occurrence.step.index) or a request.")
	private String id;

	@Parameters(index = "1..*", paramLabel = "FILE", defaultValue = STANDARD_INPUT,
			description = "Output of processes; - or none: the standard input.")
	private List<String> files;

	@Option(names = "--all", description = "Print each line instead of folding those that are alike.")
	private boolean all;

	@Mixin
	private Output output;

	ExplainCommand(InputStream input) {
		this.input = input;
	}

	@Override
	public Integer call() {
		if (this.id.isBlank()) {
			throw new CommandFailure(Program.INVALID, "the id is empty");
		}
		JobTimeline story = new JobTimeline(this.id);
		this.files.forEach((file) -> read(file, story));
		story.missingData().forEach(this.output::notice);
		if (!story.isFound()) {
			throw new CommandFailure(Program.FAILED, "none of " + story.readCount() + " lines names " + this.id);
		}
		if (this.output.isJson()) {
			this.output.json(story.lines());
			return Program.OK;
		}
		(this.all ? story.formatAll() : story.formatCondensed()).forEach(this.output::line);
		story.causes().forEach((cause) -> this.output.line("=> " + cause));
		return Program.OK;
	}

	private void read(String file, JobTimeline story) {
		boolean isStandard = STANDARD_INPUT.equals(file);
		try (InputStream from = isStandard ? this.input : Files.newInputStream(Path.of(file));
				BufferedReader lines = new BufferedReader(new InputStreamReader(from, StandardCharsets.UTF_8))) {
			String name = isStandard ? "stdin" : String.valueOf(Path.of(file).getFileName());
			for (String line = lines.readLine(); line != null; line = lines.readLine()) {
				story.addLine(name, line);
			}
		}
		catch (IOException ex) {
			throw new CommandFailure(Program.INVALID, file + ": cannot be read: " + ex.getClass().getSimpleName());
		}
	}

}
