/**
 * The settings of each process, which are read from TOML and validated before the process starts anything.
 */
package io.waxwingquay.settings;
