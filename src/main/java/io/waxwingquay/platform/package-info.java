/**
 * Names, formats and calls of the prepared platform, and nothing that decides: settings, the store's tables, the
 * operator's configuration, what replicas say of themselves, and their orders. Everything is decoded once, here, into
 * the product's own types; no other package knows a name of the platform.
 */
package io.waxwingquay.platform;
