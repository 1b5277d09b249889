package org.monsoonrelay.cli;

import java.util.List;

import picocli.CommandLine.Option;

/**
 * How to reach the cell: options that every command which does has. Not thread-safe.
 */
final class Connection {

	@Option(names = "--host", required = true, split = ",", paramLabel = "HOST:PORT",
			description = "Operators' address of an entry host; repeat it to have others tried when one is down. "
					+ "Default: $MONSOONRELAY_HOSTS.",
			defaultValue = "${env:MONSOONRELAY_HOSTS}")
	private List<String> hosts;

	@Option(names = "--token", required = true, paramLabel = "TOKEN",
			description = "Your credential. Default: $MONSOONRELAY_TOKEN.", defaultValue = "${env:MONSOONRELAY_TOKEN}")
	private String token;

	OperatorClient client() {
		return new OperatorClient(this.hosts, this.token);
	}

}
