package org.monsoonrelay.cli;

import org.monsoonrelay.logic.platform.Json;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Where a command writes: results to its standard output, as text or JSON, and progress
 * and complaints to its standard error. Not thread-safe.
 */
final class Output {

	@Spec(Spec.Target.MIXEE)
	private CommandSpec command;

	@Option(names = "--json", description = "Print JSON.")
	private boolean json;

	boolean isJson() {
		return this.json;
	}

	void json(Object result) {
		line(Json.write(result));
	}

	void line(String text) {
		this.command.commandLine().getOut().println(text);
		this.command.commandLine().getOut().flush();
	}

	void notice(String text) {
		this.command.commandLine().getErr().println(text);
		this.command.commandLine().getErr().flush();
	}

}
