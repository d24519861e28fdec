/**
 * The processes that run on the prepared platform, put together from its settings: one that takes callers' requests and
 * one beside each engine.
 */
package io.waxwingquay.hosted;
