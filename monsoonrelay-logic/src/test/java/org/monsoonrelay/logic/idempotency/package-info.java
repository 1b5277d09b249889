/**
 * Tests of the idempotency keys of requests that are not repeatable.
 */
package org.monsoonrelay.logic.idempotency;
