/**
 * Settings of each process, read from TOML and validated before anything starts.
 */
package io.waxwingquay.settings;
