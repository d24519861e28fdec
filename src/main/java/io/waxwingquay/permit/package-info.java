/**
 * Permits of limits that hold across replicas, lent between side processes.
 */
package io.waxwingquay.permit;
