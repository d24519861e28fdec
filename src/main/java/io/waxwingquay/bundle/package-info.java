/**
 * Bundles, which are the signed, versioned documents by which operators configure the system.
 */
package io.waxwingquay.bundle;
