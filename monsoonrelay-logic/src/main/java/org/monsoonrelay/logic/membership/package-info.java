/**
 * Telling live sessions from lapsed ones and planning who owns what.
 */
package org.monsoonrelay.logic.membership;
