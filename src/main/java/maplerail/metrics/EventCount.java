package maplerail.metrics;

import java.util.Locale;

/** What is counted each time it happens; the figure's name is the constant's, in lower case. */
public enum EventCount {
    /** Attempts that ended so. */
    ATTEMPTS_COMPLETED,
    ATTEMPTS_PROMPT_READ,
    ATTEMPTS_OVERLOADED,
    ATTEMPTS_STATE_LOST,
    ATTEMPTS_ERROR,
    ATTEMPTS_RESET,
    ATTEMPTS_UNREACHABLE,
    ATTEMPTS_TIMEOUT,
    ATTEMPTS_CANCELLED,
    ATTEMPTS_NOT_SENT,
    /** Attempts that were not begun as a disconnect of their client could not be detected behind its unread input. */
    ATTEMPTS_WITHHELD,
    /** Requests with an effect that may have run and are remembered no longer, as there were too many. */
    EXECUTIONS_FORGOTTEN,
    /** Requests rejected (409) as one with the same id is open or may have run. */
    REQUESTS_DUPLICATE,
    /** States that were reserved for as long as the settings allow, and released for that. */
    RESERVATIONS_OVERDUE,
    /** Releases begun, calls made for them, and those of which no engine has answered a call. */
    RELEASES,
    RELEASE_CALLS,
    RELEASES_UNANSWERED,
    /** Releases that were answered only after a call had gone unanswered. */
    RELEASES_ANSWERED_LATE,
    /** Writers asked whether a read is in flight, and reads that were not any more though their answers were not heard. */
    PLACES_ASKED,
    READS_LOST,
    /** Reads without a response that were given up, for whatever reason. */
    READS_GIVEN_UP,
    /** Connections to engines begun, and what became of them; kept are those that came up after their calls had ended. */
    DIALS_BEGUN,
    DIALS_UP,
    DIALS_KEPT,
    DIALS_FAILED,
    DIALS_GIVEN_UP,
    /**
     * Streams that came from a process that stops and those that were refused; streams that went to one that serves on,
     * and those that were offered and continue here.
     */
    STREAMS_TAKEN_OVER,
    STREAMS_REFUSED,
    STREAMS_HANDED_ON,
    STREAMS_KEPT,
    /** Streams of engines that ended in good order without the event that ends a stream; they are broken off. */
    STREAMS_WITHOUT_END,
    /** Requests refused because the process sends its clients away, and for lack of memory. */
    REQUESTS_REFUSED_DRAINING,
    REQUESTS_REFUSED_MEMORY,
    /** Requests that were answered when their client had already sent more behind them. */
    REQUESTS_SENT_AHEAD,
    /** Requests that the platform's front answered itself, as their path, method, size or headers are wrong (4xx). */
    REQUESTS_INVALID,
    /** Requests whose head or body is not framed as HTTP has it. */
    REQUESTS_MALFORMED,
    /** WebSockets that were refused because their team had too many of the front's connections. */
    WEBSOCKETS_REFUSED_TEAM,
    /** Messages on WebSockets that were malformed, too large or no text; each of them ended its WebSocket. */
    MESSAGES_MALFORMED,
    /** Messages of tool calls' clients at which the program failed with an exception. */
    MESSAGES_FAILED,
    /** Messages that arrived on a WebSocket after its close frame was sent; none of them was processed. */
    MESSAGES_DROPPED_CLOSING,
    /** Clients' guesses at the work of a request that can't be read or are out of range. */
    COST_HINTS_IGNORED,
    /** Tasks of the event loop that failed with an exception or an error. */
    LOOP_TASKS_FAILED,
    /** Clients' connections that the program ended, by its reason. */
    CONNECTIONS_CLOSED_REQUEST_TIMEOUT,
    CONNECTIONS_CLOSED_IDLE,
    CONNECTIONS_CLOSED_FOR_ROOM,
    CONNECTIONS_CLOSED_DRAINING,
    CONNECTIONS_CLOSED_AFTER_ANSWER,
    /** Log lines left out, as there were too many. */
    LOG_LINES_SUPPRESSED;

    /** The figure's name. */
    public String figureName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
