package org.monsoonrelay.gateway.jobs;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.platform.HostProgram;
import picocli.CommandLine.Command;

/**
 * The command line of the gateway for submitted jobs.
 */
@Command(name = JobGatewayMain.NAME, mixinStandardHelpOptions = true, version = "0.1.0",
		description = "Takes jobs from callers and tells what became of them.")
public final class JobGatewayMain extends HostProgram {

	static final String NAME = "monsoonrelay-job-gateway";

	JobGatewayMain() {
		super(JobGateway::new);
	}

	/**
	 * Run a gateway until it is told to stop.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.exit(Program.runDaemon(NAME, new JobGatewayMain(), arguments, System.err));
	}

}
