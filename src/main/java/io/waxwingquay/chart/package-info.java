/**
 * State charts in files, interpreted and checked at start.
 */
package io.waxwingquay.chart;
