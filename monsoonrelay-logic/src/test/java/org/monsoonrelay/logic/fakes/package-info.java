/**
 * Test doubles for the table, workers, time and executor, with fault injection.
 */
package org.monsoonrelay.logic.fakes;
