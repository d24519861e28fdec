/**
 * Which target a request goes to: pure functions over a view of the targets.
 */
package io.waxwingquay.routing;
