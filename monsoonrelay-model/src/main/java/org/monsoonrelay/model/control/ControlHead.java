package org.monsoonrelay.model.control;

/**
 * The single row that identifies the control state in force. Its version only increases;
 * an edit is accepted by a conditional write to this row. Immutable.
 *
 * @param version number of edits accepted so far
 * @param stateDigest digest of the {@link ControlState} in the object store
 * @param editId identity of the edit that created this version
 */
public record ControlHead(long version, String stateDigest, String editId) {

	/**
	 * Head before the first edit.
	 */
	public static final ControlHead NONE = new ControlHead(0, "", "");

}
