package io.waxwingquay.entry;

/**
 * Represents the answer of a plain service.
 *
 * @param status the HTTP status.
 * @param contentType the media type of the body.
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
