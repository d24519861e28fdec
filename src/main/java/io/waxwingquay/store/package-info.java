/**
 * Clients of the platform services: the transactional table service, the object store and the VM list.
 */
package io.waxwingquay.store;
