/**
 * Fakes at the ports: table, workers, time and executor, each with its fault switches.
 */
package org.monsoonrelay.logic.fakes;
