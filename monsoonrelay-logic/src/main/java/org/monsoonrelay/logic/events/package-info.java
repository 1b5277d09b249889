/**
 * What processes decide and come to believe, as typed records for the logs.
 */
package org.monsoonrelay.logic.events;
