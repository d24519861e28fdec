/**
 * Small stand-ins of the outside systems, for the demo, the bench and the tests; no part of the product.
 */
package io.waxwingquay.standin;
