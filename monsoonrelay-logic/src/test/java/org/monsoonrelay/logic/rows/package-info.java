/**
 * Tests of the limits for rows of jobs.
 */
package org.monsoonrelay.logic.rows;
