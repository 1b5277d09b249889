package org.monsoonrelay.cli;

/**
 * A command cannot do what it was asked. The message is meant for the operator.
 */
final class CommandFailure extends RuntimeException {

	private final int exitCode;

	CommandFailure(int exitCode, String message) {
		super(message);
		this.exitCode = exitCode;
	}

	int exitCode() {
		return this.exitCode;
	}

}
