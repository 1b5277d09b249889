/**
 * Common parts of the HTTP servers: health, metrics, problems.
 */
package org.monsoonrelay.adapters.http;
