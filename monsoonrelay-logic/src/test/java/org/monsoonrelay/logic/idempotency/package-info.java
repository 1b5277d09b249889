/**
 * Tests of the keys of requests that may not be repeated.
 */
package org.monsoonrelay.logic.idempotency;
