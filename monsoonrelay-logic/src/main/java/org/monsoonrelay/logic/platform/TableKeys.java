package org.monsoonrelay.logic.platform;

import org.monsoonrelay.model.job.JobId;

/**
 * Keys of the rows that monsoonrelay stores in the platform's table. Stateless and
 * thread-safe.
 */
public final class TableKeys {

	/** The control head. */
	public static final String HEAD = "control/head";

	/** Prefix of the audit trail. */
	public static final String EDITS = "edits/";

	/** Prefix of accepted edits by edit id. */
	public static final String EDIT_IDS = "edit-ids/";

	/** Prefix of the sessions. */
	public static final String SESSIONS = "sessions/";

	/** Prefix of all ownership rows. */
	public static final String OWNERS = "owners/";

	/** Prefix of the ownership of racks. */
	public static final String RACKS = "owners/racks/";

	/** Prefix of the ownership of teams' queues. */
	public static final String QUEUES = "owners/queues/";

	/** Prefix of the progress of jobs. */
	public static final String JOBS = "jobs/";

	/** Prefix of the keys of requests that must not run twice. */
	public static final String REQUEST_KEYS = "requests/";

	private TableKeys() {
	}

	/**
	 * Key of an accepted edit in the audit trail; keys sort by version.
	 * @param version the version created by the edit
	 * @return the key
	 */
	public static String edit(long version) {
		return String.format("%s%012d", EDITS, version);
	}

	/**
	 * Key of a rejected edit in the audit trail; it sorts after the version that was
	 * active at the time.
	 * @param version the version active at the time
	 * @param editId the id of the edit
	 * @return the key
	 */
	public static String rejectedEdit(long version, String editId) {
		return edit(version) + '/' + editId;
	}

	/**
	 * Key of the row that marks an edit as accepted.
	 * @param editId the id of the edit
	 * @return the key
	 */
	public static String editId(String editId) {
		return EDIT_IDS + editId;
	}

	/**
	 * Key of a job's progress.
	 * @param id the id of the job
	 * @return the key
	 */
	public static String job(JobId id) {
		return JOBS + id;
	}

}
