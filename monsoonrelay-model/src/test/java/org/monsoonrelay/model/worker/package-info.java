/**
 * Tests of the committed capacity of workers.
 */
package org.monsoonrelay.model.worker;
