/**
 * Small shared utilities: the clock, addresses, the drain gate, HTTP calls and JSON mapping.
 */
package io.waxwingquay.common;
