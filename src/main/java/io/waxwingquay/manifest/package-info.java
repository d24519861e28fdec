/**
 * The configuration in force where the platform itself holds it: routes to services, and the models that the engines of
 * a service may hold. The signed bundles of {@code io.waxwingquay.bundle} serve the same purpose for deployments that
 * the product rolls out itself.
 */
package io.waxwingquay.manifest;
