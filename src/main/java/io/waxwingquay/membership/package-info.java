/**
 * What each process knows of the others, spread by gossip and reconciled with the VM list.
 */
package io.waxwingquay.membership;
