/**
 * Requests that were running when targets crashed, and their quarantine.
 */
package io.waxwingquay.suspect;
