/**
 * Says from the log lines of entries which requests were not served in time, when, and for what reason.
 */
package io.waxwingquay.explain;
