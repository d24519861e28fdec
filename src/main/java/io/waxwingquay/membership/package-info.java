/**
 * The membership view of each process, disseminated by gossip and reconciled with the platform's VM list.
 */
package io.waxwingquay.membership;
