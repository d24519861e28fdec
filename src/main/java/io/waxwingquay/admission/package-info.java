/**
 * Admission control: retry policies, retry budgets, shared rate limits, backoff and retry-after delays.
 */
package io.waxwingquay.admission;
