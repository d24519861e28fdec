package io.waxwingquay.entry;

/**
 * The answer of a plain service.
 *
 * @param status its HTTP status.
 * @param contentType the body's media type.
 * @param body the body.
 * @param replayed whether it is the recorded answer of an earlier run.
 */
record ServiceAnswer(int status, String contentType, byte[] body, boolean replayed) {

    private static final int OK = 200;

    static ServiceAnswer of(AttemptResult result, byte[] body, boolean replayed) {
        int status = result.statusCode() == 0 ? OK : result.statusCode();
        String contentType = result.contentType().isEmpty() ? "application/json" : result.contentType();
        return new ServiceAnswer(status, contentType, body, replayed);
    }
}
