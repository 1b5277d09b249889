package org.monsoonrelay.gateway;

import java.nio.file.Path;
import java.util.concurrent.Callable;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.adapters.node.Shutdown;
import org.monsoonrelay.adapters.settings.SettingsPrinter;
import org.monsoonrelay.adapters.settings.SettingsReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Command line of the gateway.
 */
@Command(name = "monsoonrelay-gateway", mixinStandardHelpOptions = true, version = "0.1.0",
		description = "Takes callers' requests and forwards them to backend servers.")
public final class GatewayMain implements Callable<Integer> {

	@Option(names = "--settings", required = true, description = "JSON file with the settings.")
	private Path settingsFile;

	@Option(names = "--print-settings", description = "Check the settings, print them and exit.")
	private boolean printSettings;

	/**
	 * Run a gateway until the process is asked to stop.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.exit(Program.run(new GatewayMain(), arguments, System.err));
	}

	@Override
	public Integer call() {
		GatewaySettings settings = new SettingsReader<>(GatewaySettings.class, "gateway-settings.schema.json")
			.read(this.settingsFile);
		if (this.printSettings) {
			System.out.println(SettingsPrinter.print(settings));
			return Program.OK;
		}
		Gateway gateway = new Gateway(settings);
		gateway.start();
		return new Shutdown().await(gateway::drain);
	}

}
