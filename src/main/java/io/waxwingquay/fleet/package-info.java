/**
 * The replicas as a process knows them: which exist, which are about to leave, and what each holds.
 *
 * <p>An incarnation of a replica is identified by its id, its address and its start time. What was known of a previous
 * incarnation no longer applies.
 */
package io.waxwingquay.fleet;
