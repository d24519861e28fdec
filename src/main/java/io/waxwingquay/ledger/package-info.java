/**
 * The memory ledger of one target: which accelerator memory is reserved, resident or uncertain.
 */
package io.waxwingquay.ledger;
