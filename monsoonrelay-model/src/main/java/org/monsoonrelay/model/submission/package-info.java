/**
 * Submitted jobs: their definition, their durable progress and the configuration of their
 * queues.
 */
package org.monsoonrelay.model.submission;
