/**
 * Replica selection: pure functions that choose the target of a request from a view of the targets.
 */
package io.waxwingquay.routing;
