/**
 * How fast an engine produces events, learned from its reports, and how many prompt tokens it may prefill meanwhile. Knows
 * neither HTTP nor the platform.
 */
package io.waxwingquay.pace;
