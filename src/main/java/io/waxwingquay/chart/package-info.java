/**
 * State charts that are loaded from files, validated at start and interpreted.
 */
package io.waxwingquay.chart;
