/**
 * The origin of a stream: the software that sent its first event. Replicas of several software versions may serve one
 * service, and a stream is resumed only at the version that started it, also by another entry.
 * Entries report origins to processes beside engines, which keep them and answer for them.
 */
package io.waxwingquay.origin;
