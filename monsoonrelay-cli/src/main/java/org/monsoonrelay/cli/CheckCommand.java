package org.monsoonrelay.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.text.TextFault;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Checks a text without touching the cell.
 */
@Command(name = "check", mixinStandardHelpOptions = true,
		description = "Check a text offline and name every fault with its place.")
final class CheckCommand implements Callable<Integer> {

	@Parameters(paramLabel = "FILE", description = "The text.")
	private Path file;

	@Option(names = "--json", description = "Print JSON.")
	private boolean json;

	@Override
	public Integer call() {
		List<TextFault> faults = Texts.faults(Texts.read(this.file));
		if (this.json) {
			System.out.println(Json.write(faults));
		}
		else if (faults.isEmpty()) {
			System.out.println(this.file + ": no faults");
		}
		else {
			faults.forEach((fault) -> System.out.println(this.file + ": " + fault));
		}
		return faults.isEmpty() ? Program.OK : Program.INVALID;
	}

}
