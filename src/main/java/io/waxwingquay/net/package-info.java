/**
 * HTTP/1.1 and datagrams on one thread: an event loop over Jetty's selectors, with Jetty's parser and header writer.
 *
 * <p>Everything here runs on the loop's thread, so that a connection's state needs no locks and an idle process wakes
 * for its timers alone. Jetty's own server and client classes are used by the product's other roles; they do not tell a
 * server that its caller has closed while a request waits, nor a client whether any byte of a request left.
 */
package io.waxwingquay.net;
