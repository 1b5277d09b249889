/**
 * Jobs that callers hand in at run time, with what has become of them.
 */
package org.monsoonrelay.model.submission;
