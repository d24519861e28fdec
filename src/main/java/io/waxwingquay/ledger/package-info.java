/**
 * The memory ledger of one target: what is reserved, resident or uncertain on its accelerators.
 */
package io.waxwingquay.ledger;
