package io.waxwingquay.net;

import org.eclipse.jetty.http.HttpParser;

/** Creates parsers that remember nothing of earlier messages. */
final class Parsers {

    private Parsers() {}

    static HttpParser forRequests(HttpParser.RequestHandler handler, int maxHeaderBytes) {
        return withoutFieldCache(new HttpParser(handler, maxHeaderBytes));
    }

    static HttpParser forResponses(HttpParser.ResponseHandler handler, int maxHeaderBytes) {
        return withoutFieldCache(new HttpParser(handler, maxHeaderBytes));
    }

    /** Disables the cache of header fields, which takes some 100 kB of the heap for each kept connection. */
    private static HttpParser withoutFieldCache(HttpParser parser) {
        parser.setHeaderCacheSize(0);
        return parser;
    }
}
