/**
 * Model placement: a pure function, evaluated by every side process, that decides which models each target should hold.
 */
package io.waxwingquay.placement;
