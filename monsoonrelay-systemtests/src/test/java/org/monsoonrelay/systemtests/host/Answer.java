package org.monsoonrelay.systemtests.host;

/**
 * An answer of a stand-in. Immutable.
 *
 * @param code the status
 * @param body the body, written as JSON
 */
record Answer(int code, Object body) {

}
