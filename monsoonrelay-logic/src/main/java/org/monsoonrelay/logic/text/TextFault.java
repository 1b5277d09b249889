package org.monsoonrelay.logic.text;

/**
 * One fault in a JSON text. Immutable.
 *
 * @param pointer JSON pointer of the faulty place, empty for the whole document
 * @param reason what is wrong there
 */
public record TextFault(String pointer, String reason) {

	@Override
	public String toString() {
		return (this.pointer.isEmpty() ? "/" : this.pointer) + ": " + this.reason;
	}

}
