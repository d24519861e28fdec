/**
 * Tracking and quarantine of requests that were running when targets crashed.
 */
package io.waxwingquay.suspect;
