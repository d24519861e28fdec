package io.waxwingquay.fleet;

/**
 * A call to the platform's store that brought no result.
 */
public class StoreException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * A failed call.
     *
     * @param message what failed.
     */
    public StoreException(String message) {
        super(message);
    }

    /** The store has dropped the history that was asked for; all rows have to be read again. */
    public static final class HistoryLost extends StoreException {

        private static final long serialVersionUID = 1L;

        /**
         * A lost history.
         *
         * @param table the table's name.
         */
        public HistoryLost(String table) {
            super("the store no longer has the history of table " + table);
        }
    }
}
