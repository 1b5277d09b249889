package org.monsoonrelay.gateway.jobs;

import java.util.concurrent.Callable;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.adapters.node.Shutdown;
import org.monsoonrelay.adapters.settings.SettingsPrinter;
import org.monsoonrelay.platform.HostSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The command line of the gateway for submitted jobs.
 */
@Command(name = "monsoonrelay-job-gateway", mixinStandardHelpOptions = true, version = "0.1.0",
		description = "Takes jobs from callers and tells what became of them.")
public final class JobGatewayMain implements Callable<Integer> {

	@Option(names = "--print-settings", description = "Check the settings, print them and exit.")
	private boolean printSettings;

	@Option(names = "--rehearse", paramLabel = "PORT",
			description = "Start without a platform on ten loopback ports from this one, then exit. "
					+ "Records the classes for a faster start.")
	private Integer rehearsalPort;

	/**
	 * Run a gateway until it is told to stop.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.exit(Program.run(new JobGatewayMain(), arguments, System.err));
	}

	@Override
	public Integer call() {
		if (this.rehearsalPort != null) {
			return rehearse(new JobGateway(HostSettings.rehearsal(this.rehearsalPort)));
		}
		HostSettings settings = HostSettings.fromEnvironment();
		if (this.printSettings) {
			System.out.println(SettingsPrinter.print(settings));
			return Program.OK;
		}
		JobGateway gateway = new JobGateway(settings);
		gateway.start();
		return new Shutdown().await(gateway::drain);
	}

	private static int rehearse(JobGateway gateway) {
		gateway.start();
		gateway.rehearse();
		gateway.drain();
		return Program.OK;
	}

}
