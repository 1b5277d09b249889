package org.monsoonrelay.logic.pool;

import java.util.Optional;

import org.monsoonrelay.logic.platform.PartitionCommit;

/**
 * What a table does with one write. Immutable.
 *
 * @param effectMillis time until the write takes effect if its condition holds then,
 * milliseconds; {@link #NEVER} if it does not
 * @param answerMillis time until the client knows the answer, milliseconds
 * @param answer the answer, empty if it is what became of the write
 */
record WriteAnswer(long effectMillis, long answerMillis, Optional<PartitionCommit> answer) {

	static final long NEVER = -1;

	/** As a table that works. */
	static final WriteAnswer USUAL = new WriteAnswer(5, 6, Optional.empty());

	private static final long TIMEOUT_MILLIS = 900;

	/**
	 * The write takes effect and the answer is lost.
	 * @return the answer
	 */
	static WriteAnswer doneUnanswered() {
		return unanswered(5, TIMEOUT_MILLIS);
	}

	/**
	 * The write is not answered in time.
	 * @param effectMillis time until it takes effect, or {@link #NEVER}
	 * @param answerMillis time until the client gives up, or its connection is reset
	 * @return the answer
	 */
	static WriteAnswer unanswered(long effectMillis, long answerMillis) {
		return new WriteAnswer(effectMillis, answerMillis, Optional.of(new PartitionCommit.Unknown("no answer")));
	}

	/**
	 * The table refuses the write for now.
	 * @return the answer
	 */
	static WriteAnswer refused() {
		return new WriteAnswer(NEVER, 1, Optional.of(new PartitionCommit.NotDone("busy")));
	}

	/**
	 * The table answers that it never accepts the content of the write.
	 * @return the answer
	 */
	static WriteAnswer rejected() {
		return new WriteAnswer(NEVER, 1, Optional.of(new PartitionCommit.Rejected("not accepted")));
	}

}
