/**
 * Entry process: serves callers over HTTP, with admission control, routing, retries and claims.
 */
package io.waxwingquay.entry;
