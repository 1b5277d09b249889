package org.monsoonrelay.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.logic.text.CellTextParser;
import org.monsoonrelay.logic.text.TextFault;

/**
 * Reads and checks operators' texts. Stateless and thread-safe.
 */
final class Texts {

	private Texts() {
	}

	static String read(Path file) {
		try {
			return Files.readString(file);
		}
		catch (IOException ex) {
			throw new CommandFailure(Program.INVALID, file + ": cannot be read: " + ex.getClass().getSimpleName());
		}
	}

	static List<TextFault> faults(String document) {
		return new CellTextParser().parse(document).faults();
	}

}
