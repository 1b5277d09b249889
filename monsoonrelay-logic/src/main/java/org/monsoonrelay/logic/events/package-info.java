/**
 * Typed records of the decisions of processes, as they are written to the logs.
 */
package org.monsoonrelay.logic.events;
