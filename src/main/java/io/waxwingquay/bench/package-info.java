/**
 * Benchmarks on local deployments: open-loop workloads, baseline policies, fault injection, reports and plots.
 */
package io.waxwingquay.bench;
