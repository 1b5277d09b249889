/**
 * Rows of jobs: their durable form, and what is done about rows that the table rejects.
 */
package org.monsoonrelay.logic.rows;
