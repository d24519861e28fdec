/**
 * Datagrams between entries and the processes beside engines. They carry the models and load of engines, the demand of
 * callers, and the adapters that are needed at once. The next datagram makes up for a lost one; no call waits for one.
 */
package io.waxwingquay.peer;
