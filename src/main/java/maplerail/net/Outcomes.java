package maplerail.net;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import maplerail.routing.AttemptOutcome;

/** What an answer's status says of an attempt; only a mark proves that it never ran. */
final class Outcomes {
    static final HttpString DECLINED = new HttpString("Srv-Declined");

    private Outcomes() {}

    static AttemptOutcome of(int status, HeaderMap headers) {
        boolean declined = "1".equals(headers.getFirst(DECLINED));
        return switch (status) {
            case 200 -> AttemptOutcome.COMPLETED;
            case 202 -> AttemptOutcome.PROMPT_READ;
            case 410 -> declined ? AttemptOutcome.STATE_LOST : AttemptOutcome.ERROR;
            case 429, 503, 504 -> declined ? AttemptOutcome.OVERLOADED : AttemptOutcome.ERROR;
            default -> AttemptOutcome.ERROR;
        };
    }

    /** True if the status blames the request and not the engine, nor what was asked of it before. */
    static boolean unfit(int status) {
        return status >= 400 && status < 500 && status != 408 && status != 410 && status != 429;
    }

    /** What a call without a whole answer says; a head that proves that it never ran holds all the same. */
    static AttemptOutcome broken(AttemptOutcome head, boolean neverSent) {
        if (head != null && head != AttemptOutcome.PROMPT_READ && head.provesNoEffect()) return head;
        return neverSent ? AttemptOutcome.UNREACHABLE : AttemptOutcome.RESET;
    }
}
