/**
 * The entry process: callers' connections, admission, routing, retries and bundle intake.
 */
package io.waxwingquay.entry;
