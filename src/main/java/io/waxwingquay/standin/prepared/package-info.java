/**
 * Small stand-ins of the prepared platform: its store, and replicas that take requests and orders. For tests and for the
 * rehearsal that the build makes; no part of the product.
 */
package io.waxwingquay.standin.prepared;
