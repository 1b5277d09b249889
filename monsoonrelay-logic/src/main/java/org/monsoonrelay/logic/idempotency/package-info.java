/**
 * Idempotency keys of requests that are not repeatable, stored in the platform's table.
 */
package org.monsoonrelay.logic.idempotency;
