package org.monsoonrelay.adapters.settings;

import java.util.List;

import org.monsoonrelay.logic.text.TextFault;

/**
 * Settings with rules that a schema cannot state. Implementations are immutable.
 */
public interface CheckedSettings {

	/**
	 * Check the rules. What the schema already complains of as missing is passed over.
	 * @return the faults
	 */
	List<TextFault> faults();

}
