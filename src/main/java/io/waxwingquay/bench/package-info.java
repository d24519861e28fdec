/**
 * The load and experiment tool: open-loop workloads, baselines, reports and plots.
 */
package io.waxwingquay.bench;
