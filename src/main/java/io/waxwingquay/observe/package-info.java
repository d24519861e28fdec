/**
 * What an operator sees: metrics, state dump, health and logging set-up.
 */
package io.waxwingquay.observe;
