/**
 * Thrift between the system's own processes: client pool with silence detection and server.
 */
package io.waxwingquay.transport;
