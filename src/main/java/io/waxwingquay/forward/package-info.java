/**
 * Forwards requests of callers to replicas and their responses back: admission, replica selection, retries, deadlines
 * and the resumption of streams.
 */
package io.waxwingquay.forward;
