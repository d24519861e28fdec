/** Measures how cost grows with entries, sides, models and residency, for docs/CAPACITY.md. */
package io.waxwingquay.bench.capacity;
