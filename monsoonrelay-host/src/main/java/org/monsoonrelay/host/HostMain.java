package org.monsoonrelay.host;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.platform.HostProgram;
import picocli.CommandLine.Command;

/**
 * Command line of the program that runs on every host.
 */
@Command(name = HostMain.NAME, mixinStandardHelpOptions = true, version = "0.1.0",
		description = "Accepts jobs from callers, reports their states, and schedules them when it owns the pool.")
public final class HostMain extends HostProgram {

	static final String NAME = "monsoonrelay-host";

	HostMain() {
		super(Host::new);
	}

	/**
	 * Run until the process is asked to stop.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.exit(Program.runDaemon(NAME, new HostMain(), arguments, System.err));
	}

}
