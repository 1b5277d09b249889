package org.monsoonrelay.adapters.operator;

/**
 * The text in force. Immutable.
 *
 * @param version version of the last accepted edit
 * @param textVersion version of the edit that brought the text
 * @param text the text
 */
public record StateMessage(long version, long textVersion, String text) {

}
