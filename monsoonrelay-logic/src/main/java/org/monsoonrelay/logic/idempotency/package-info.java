/**
 * Keys of requests that may not be repeated, kept in the platform's table.
 */
package org.monsoonrelay.logic.idempotency;
