/**
 * Decides what the engine beside this process holds, and gives it orders.
 */
package io.waxwingquay.residency;
