/**
 * Which models each target should hold: a pure function every side process evaluates for itself.
 */
package io.waxwingquay.placement;
