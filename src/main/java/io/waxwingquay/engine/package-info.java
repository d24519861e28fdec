/**
 * Clients of targets: model engines and plain services, spoken to by their side process only.
 */
package io.waxwingquay.engine;
