/**
 * The side process: the sole gateway to its target. Every request to the target, and every order to load or evict,
 * passes through it.
 */
package io.waxwingquay.side;
