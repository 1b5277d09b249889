/**
 * Tests of the HTTP server and client.
 */
package org.monsoonrelay.adapters.http;
