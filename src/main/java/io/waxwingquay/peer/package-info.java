/**
 * Datagrams between entries and the processes beside engines: what engines hold and how busy they are, what callers ask
 * for, and adapters that are needed at once. A lost datagram is made good by the next; no call waits for one.
 */
package io.waxwingquay.peer;
