package org.monsoonrelay.adapters.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.monsoonrelay.logic.text.TextFault;
import org.monsoonrelay.model.host.HostAddress;

/**
 * Checks that addresses can be read and that those at which a process listens differ. Not
 * thread-safe; one instance checks one process's settings.
 */
public final class AddressCheck {

	private final Map<HostAddress, String> listening = new HashMap<>();

	private final List<TextFault> faults = new ArrayList<>();

	/**
	 * Check an address at which the process listens.
	 * @param pointer its place in the settings
	 * @param address the address, {@code null} if missing
	 * @return this check
	 */
	public AddressCheck listens(String pointer, String address) {
		HostAddress read = read(pointer, address);
		String earlier = (read != null) ? this.listening.putIfAbsent(read, pointer) : null;
		if (earlier != null) {
			this.faults.add(new TextFault(pointer, "the same address as " + earlier));
		}
		return this;
	}

	/**
	 * Check an address that the process calls.
	 * @param pointer its place in the settings
	 * @param address the address, {@code null} if missing
	 * @return this check
	 */
	public AddressCheck calls(String pointer, String address) {
		read(pointer, address);
		return this;
	}

	private HostAddress read(String pointer, String address) {
		try {
			return (address != null) ? HostAddress.parse(address) : null;
		}
		catch (IllegalArgumentException ex) {
			this.faults.add(new TextFault(pointer, ex.getMessage()));
			return null;
		}
	}

	/**
	 * All faults found.
	 * @return the faults
	 */
	public List<TextFault> faults() {
		return List.copyOf(this.faults);
	}

}
