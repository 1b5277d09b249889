package org.monsoonrelay.logic.platform;

import org.monsoonrelay.model.job.JobId;

/**
 * Keys of the rows that monsoonrelay keeps in the platform's table.
 */
public final class TableKeys {

	/** The control head. */
	public static final String HEAD = "control/head";

	/** Prefix of the audit trail. */
	public static final String EDITS = "edits/";

	/** Prefix of the edits by their own identity. */
	public static final String EDIT_IDS = "edit-ids/";

	/** Prefix of the sessions. */
	public static final String SESSIONS = "sessions/";

	/** Prefix of all owners. */
	public static final String OWNERS = "owners/";

	/** Prefix of the owners of racks. */
	public static final String RACKS = "owners/racks/";

	/** Prefix of the owners of teams' queues. */
	public static final String QUEUES = "owners/queues/";

	/** Prefix of the progress of jobs. */
	public static final String JOBS = "jobs/";

	/** Prefix of the keys of requests that may not be repeated. */
	public static final String REQUEST_KEYS = "requests/";

	private TableKeys() {
	}

	/**
	 * Key of one entry of the audit trail; keys sort by version.
	 * @param version the version the edit made
	 * @return the key
	 */
	public static String edit(long version) {
		return String.format("%s%012d", EDITS, version);
	}

	/**
	 * Key of an audit entry of an edit that was turned down; it sorts behind the version
	 * that stood then.
	 * @param version the version that stood
	 * @param editId the edit
	 * @return the key
	 */
	public static String rejectedEdit(long version, String editId) {
		return edit(version) + '/' + editId;
	}

	/**
	 * Key of the row that an accepted edit leaves under its own identity.
	 * @param editId the edit
	 * @return the key
	 */
	public static String editId(String editId) {
		return EDIT_IDS + editId;
	}

	/**
	 * Key of a job's progress.
	 * @param id the job
	 * @return the key
	 */
	public static String job(JobId id) {
		return JOBS + id;
	}

}
