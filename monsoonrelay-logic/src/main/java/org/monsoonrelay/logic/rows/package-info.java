/**
 * Sizes of the rows that jobs take in the platform's table, and what follows from their
 * limit.
 */
package org.monsoonrelay.logic.rows;
