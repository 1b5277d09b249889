package org.monsoonrelay.scheduler;

import java.nio.file.Path;
import java.util.concurrent.Callable;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.adapters.node.Shutdown;
import org.monsoonrelay.adapters.settings.SettingsPrinter;
import org.monsoonrelay.adapters.settings.SettingsReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Command line of the scheduler.
 */
@Command(name = "monsoonrelay-scheduler", mixinStandardHelpOptions = true, version = "0.1.0",
		description = "Places tasks on workers and answers operators.")
public final class SchedulerMain implements Callable<Integer> {

	@Option(names = "--settings", required = true, description = "JSON file with the settings.")
	private Path settingsFile;

	@Option(names = "--print-settings", description = "Check the settings, print them and exit.")
	private boolean printSettings;

	/**
	 * Run a scheduler until the process is asked to stop.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.exit(Program.run(new SchedulerMain(), arguments, System.err));
	}

	@Override
	public Integer call() {
		SchedulerSettings settings = new SettingsReader<>(SchedulerSettings.class, "scheduler-settings.schema.json")
			.read(this.settingsFile);
		if (this.printSettings) {
			System.out.println(SettingsPrinter.print(settings));
			return Program.OK;
		}
		SchedulerNode node = new SchedulerNode(settings);
		node.start();
		return new Shutdown().await(node::drain);
	}

}
