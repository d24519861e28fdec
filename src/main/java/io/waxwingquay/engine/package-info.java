/**
 * Clients of targets: model engines and plain services. Only the side process beside a target uses them.
 */
package io.waxwingquay.engine;
