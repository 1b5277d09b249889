package org.monsoonrelay.scheduler.pool;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.platform.HostProgram;
import picocli.CommandLine.Command;

/**
 * The command line of the scheduler for submitted jobs.
 */
@Command(name = PoolSchedulerMain.NAME, mixinStandardHelpOptions = true, version = "0.1.0",
		description = "Runs submitted jobs on a pool of workers.")
public final class PoolSchedulerMain extends HostProgram {

	static final String NAME = "monsoonrelay-pool-scheduler";

	PoolSchedulerMain() {
		super(PoolScheduler::new);
	}

	/**
	 * Run a scheduler until it is told to stop.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.exit(Program.runDaemon(NAME, new PoolSchedulerMain(), arguments, System.err));
	}

}
