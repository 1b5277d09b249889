/**
 * Tests of the HTTP client.
 */
package org.monsoonrelay.adapters.http;
