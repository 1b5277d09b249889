package org.monsoonrelay.logic.platform;

/**
 * One row of the platform's table. Immutable.
 *
 * @param key the row's key
 * @param value the row's value, JSON text
 * @param version the row's version; increases with each write of any row
 */
public record Row(String key, String value, long version) {

}
