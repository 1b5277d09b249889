package org.monsoonrelay.logic.text;

/**
 * A fault in a JSON text. Immutable.
 *
 * @param pointer JSON pointer to the faulty value, empty for the whole document
 * @param reason the description of the fault
 */
public record TextFault(String pointer, String reason) {

	@Override
	public String toString() {
		return (this.pointer.isEmpty() ? "/" : this.pointer) + ": " + this.reason;
	}

}
