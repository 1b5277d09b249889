/**
 * The gateway of a cell that runs submitted jobs: composition only.
 */
package org.monsoonrelay.gateway.jobs;
