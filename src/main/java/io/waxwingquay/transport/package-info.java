/**
 * Thrift calls between the processes of the system: a server, and a pooling client that detects unresponsive
 * connections.
 */
package io.waxwingquay.transport;
