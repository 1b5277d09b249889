/**
 * Tests of the gateway for submitted jobs.
 */
package org.monsoonrelay.gateway.jobs;
