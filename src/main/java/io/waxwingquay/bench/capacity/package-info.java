/** Measurements of how costs grow with entries, sides, models and resident items, for docs/CAPACITY.md. */
package io.waxwingquay.bench.capacity;
