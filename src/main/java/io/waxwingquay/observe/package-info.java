/**
 * The observability of a process: metrics, state dump, health and readiness, and the configuration of logging.
 */
package io.waxwingquay.observe;
