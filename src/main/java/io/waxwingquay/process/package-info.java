/**
 * Assembles the entry and side processes from their settings. This package holds no decision logic.
 */
package io.waxwingquay.process;
