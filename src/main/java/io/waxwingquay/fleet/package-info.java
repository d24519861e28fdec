/**
 * What a process believes of the replicas: which there are, which leave, and what each holds.
 *
 * <p>A replica's life is its id together with the time of its start. What was known of an earlier life is void.
 */
package io.waxwingquay.fleet;
