package org.monsoonrelay.logic.platform;

/**
 * What reading all changes up to a moment took. Immutable.
 *
 * @param version the version up to which all changes have been delivered
 * @param rows number of changed rows
 * @param answers number of answers of the table
 */
public record CatchUp(long version, int rows, int answers) {

	/** Nothing was read yet. */
	public static final CatchUp NONE = new CatchUp(0, 0, 0);

	CatchUp plus(TableChanges answer) {
		return new CatchUp(Math.max(this.version, answer.version()), this.rows + answer.rows().size(),
				this.answers + 1);
	}

}
