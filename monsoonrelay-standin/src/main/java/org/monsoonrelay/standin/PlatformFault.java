package org.monsoonrelay.standin;

/**
 * How the platform's stand-in misbehaves. Immutable.
 *
 * @param down answers nothing but 503
 * @param delayMillis delay of each answer in milliseconds
 * @param loseAnswers number of further commits that take effect and whose answer is lost
 * @param frozen takes calls and never answers
 * @param listFrozen the host list does not change any more
 */
public record PlatformFault(boolean down, int delayMillis, int loseAnswers, boolean frozen, boolean listFrozen) {

	/**
	 * No fault.
	 */
	public static final PlatformFault NONE = new PlatformFault(false, 0, 0, false, false);

}
