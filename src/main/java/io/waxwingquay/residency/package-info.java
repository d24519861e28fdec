/**
 * Decides which models and adapters the engine beside this process holds, and issues orders to it.
 */
package io.waxwingquay.residency;
