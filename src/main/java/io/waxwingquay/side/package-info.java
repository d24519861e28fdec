/**
 * The side process: the only door to its target, for requests and for orders.
 */
package io.waxwingquay.side;
