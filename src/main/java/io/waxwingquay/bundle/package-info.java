/**
 * Bundles: the signed, versioned documents by which operators drive the system.
 */
package io.waxwingquay.bundle;
