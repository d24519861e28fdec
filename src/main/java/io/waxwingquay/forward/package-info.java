/**
 * Takes a caller's request to a replica and its answer back: admission, the choice of a replica, what may be sent again,
 * deadlines, and streams that go on elsewhere.
 */
package io.waxwingquay.forward;
