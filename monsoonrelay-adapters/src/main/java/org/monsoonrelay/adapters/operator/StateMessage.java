package org.monsoonrelay.adapters.operator;

import java.util.List;

/**
 * The text in force. Immutable.
 *
 * @param version version of the last accepted edit
 * @param textVersion version of the edit that brought the text
 * @param text the text
 * @param stopped names of workloads stopped until the next text
 */
public record StateMessage(long version, long textVersion, String text, List<String> stopped) {

	public StateMessage {
		stopped = List.copyOf(stopped);
	}

}
