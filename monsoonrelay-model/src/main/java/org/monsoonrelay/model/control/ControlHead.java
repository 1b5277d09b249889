package org.monsoonrelay.model.control;

/**
 * The single row that says what is in force. Its version only grows; the platform's
 * conditional write on it is what accepts an edit. Immutable.
 *
 * @param version number of edits accepted so far
 * @param stateDigest digest of the {@link ControlState} in the object store
 * @param editId identity of the edit that made this version
 */
public record ControlHead(long version, String stateDigest, String editId) {

	/**
	 * Before the first edit.
	 */
	public static final ControlHead NONE = new ControlHead(0, "", "");

}
