/**
 * Grants the slots of an engine to requests of all entries, by rank, account and age. Knows neither HTTP nor the platform.
 */
package io.waxwingquay.reservation;
