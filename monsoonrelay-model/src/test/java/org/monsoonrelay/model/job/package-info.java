/**
 * Tests of the job aggregate.
 */
package org.monsoonrelay.model.job;
