/**
 * Tests of the worker aggregate.
 */
package org.monsoonrelay.model.worker;
