/**
 * Reports from the log lines of entries which requests were lost or late, when, and for what reason.
 */
package io.waxwingquay.explain;
