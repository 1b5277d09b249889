/**
 * HTTP client and server with their common parts: health and metrics routes, problem
 * details, request limits.
 */
package org.monsoonrelay.adapters.http;
