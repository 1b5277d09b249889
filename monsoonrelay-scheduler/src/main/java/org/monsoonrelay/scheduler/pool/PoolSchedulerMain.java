package org.monsoonrelay.scheduler.pool;

import java.util.concurrent.Callable;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.adapters.node.Shutdown;
import org.monsoonrelay.adapters.settings.SettingsPrinter;
import org.monsoonrelay.platform.HostSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The command line of the scheduler for submitted jobs.
 */
@Command(name = "monsoonrelay-pool-scheduler", mixinStandardHelpOptions = true, version = "0.1.0",
		description = "Runs submitted jobs on a pool of workers.")
public final class PoolSchedulerMain implements Callable<Integer> {

	@Option(names = "--print-settings", description = "Check the settings, print them and exit.")
	private boolean printSettings;

	@Option(names = "--rehearse", paramLabel = "PORT",
			description = "Start without a platform on ten loopback ports from this one, then exit. "
					+ "Records the classes for a faster start.")
	private Integer rehearsalPort;

	/**
	 * Run a scheduler until it is told to stop.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.exit(Program.run(new PoolSchedulerMain(), arguments, System.err));
	}

	@Override
	public Integer call() {
		if (this.rehearsalPort != null) {
			return rehearse(new PoolScheduler(HostSettings.rehearsal(this.rehearsalPort)));
		}
		HostSettings settings = HostSettings.fromEnvironment();
		if (this.printSettings) {
			System.out.println(SettingsPrinter.print(settings));
			return Program.OK;
		}
		PoolScheduler scheduler = new PoolScheduler(settings);
		scheduler.start();
		return new Shutdown().await(scheduler::stop);
	}

	private static int rehearse(PoolScheduler scheduler) {
		scheduler.start();
		scheduler.rehearse();
		scheduler.stop();
		return Program.OK;
	}

}
