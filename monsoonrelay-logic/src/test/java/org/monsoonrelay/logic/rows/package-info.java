/**
 * Tests of the rows of jobs.
 */
package org.monsoonrelay.logic.rows;
