/**
 * Lightweight stand-ins for the prepared platform: its store, and replicas that accept requests and orders. They are
 * used by tests and by the training run of the build; not part of the product.
 */
package io.waxwingquay.standin.prepared;
