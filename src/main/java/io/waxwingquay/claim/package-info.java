/**
 * At-most-once execution of non-idempotent calls, through claims in the table service.
 */
package io.waxwingquay.claim;
