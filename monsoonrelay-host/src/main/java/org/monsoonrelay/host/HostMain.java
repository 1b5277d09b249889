package org.monsoonrelay.host;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.platform.HostProgram;
import picocli.CommandLine.Command;

/**
 * The command line of the program that runs on every host.
 */
@Command(name = HostMain.NAME, mixinStandardHelpOptions = true, version = "0.1.0",
		description = "Takes jobs from callers, tells what became of them, and stands ready to run them.")
public final class HostMain extends HostProgram {

	static final String NAME = "monsoonrelay-host";

	HostMain() {
		super(Host::new);
	}

	/**
	 * Run until told to stop.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.exit(Program.runDaemon(NAME, new HostMain(), arguments, System.err));
	}

}
