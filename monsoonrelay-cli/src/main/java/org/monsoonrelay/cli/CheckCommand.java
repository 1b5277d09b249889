package org.monsoonrelay.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.logic.text.TextFault;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Checks a text without touching the cell.
 */
@Command(name = "check", mixinStandardHelpOptions = true,
		description = "Check a text offline and name every fault with its place.",
		footer = { "", "Example:", "  monsoonrelay check examples/vembanad.json" })
final class CheckCommand implements Callable<Integer> {

	@Parameters(paramLabel = "FILE", description = "The text.")
	private Path file;

	@Mixin
	private Output output;

	@Override
	public Integer call() {
		List<TextFault> faults = Texts.faults(Texts.read(this.file));
		if (this.output.isJson()) {
			this.output.json(faults);
		}
		else if (faults.isEmpty()) {
			this.output.line(this.file + ": no faults");
		}
		else {
			faults.forEach((fault) -> this.output.line(this.file + ": " + fault));
		}
		return faults.isEmpty() ? Program.OK : Program.INVALID;
	}

}
