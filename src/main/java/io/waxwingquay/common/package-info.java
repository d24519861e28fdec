/**
 * Small shared values: clocks, random sources, identifiers and JSON mapping.
 */
package io.waxwingquay.common;
