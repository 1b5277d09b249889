package org.monsoonrelay.adapters.settings;

/**
 * A process's settings cannot be used. The message is meant for the operator.
 */
public class SettingsException extends RuntimeException {

	public SettingsException(String message) {
		super(message);
	}

}
