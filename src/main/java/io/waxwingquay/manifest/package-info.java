/**
 * What an operator has put in force where the platform itself holds the configuration: routes to services, and the
 * models that a service's engines may hold. The signed bundles of {@code io.waxwingquay.bundle} say the same for
 * deployments that the product rolls out by itself.
 */
package io.waxwingquay.manifest;
