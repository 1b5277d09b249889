/**
 * Traffic classes and outcomes of callers' requests.
 */
package org.monsoonrelay.model.request;
