/**
 * HTTP/1.1 and datagrams on one thread: an event loop over Jetty's selectors, with Jetty's parser and header writer.
 *
 * <p>Everything here runs on the loop thread, so that the state of a connection needs no locks and an idle process
 * wakes up only for its timers. Jetty's own server and client classes, which other roles use, do not notify a server
 * that its caller has disconnected while a request waits, nor tell a client whether any byte of a request was sent.
 */
package io.waxwingquay.net;
