/**
 * Whole processes: an entry or a side, put together from its settings. Nothing is decided here.
 */
package io.waxwingquay.process;
