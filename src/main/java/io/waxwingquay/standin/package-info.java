/**
 * Lightweight stand-ins for external systems, used by the demo, the benchmarks and the tests; not part of the product.
 */
package io.waxwingquay.standin;
