/**
 * Adapters to the prepared platform: its settings, the tables of its store, the operator's configuration, the reports
 * of replicas and the orders to engines. The package translates names and formats only and takes no decisions.
 * Everything is decoded here, once, into this system's own types; no other package uses names of the platform.
 */
package io.waxwingquay.platform;
