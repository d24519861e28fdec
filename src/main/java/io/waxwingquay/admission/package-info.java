/**
 * Whether a request is taken at all: deadlines, retry budget and come-back times.
 */
package io.waxwingquay.admission;
