/**
 * The processes that run on the prepared platform, assembled from its settings: the entry, which accepts callers'
 * requests, and the side process beside each engine.
 */
package io.waxwingquay.hosted;
