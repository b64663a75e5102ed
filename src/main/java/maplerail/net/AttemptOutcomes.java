package maplerail.net;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import maplerail.routing.AttemptOutcome;

/** Derives attempt outcomes from HTTP responses; only the header {@code Srv-Declined} proves that one had no effect. */
final class AttemptOutcomes {
    static final HttpString DECLINED_HEADER = new HttpString("Srv-Declined");

    private AttemptOutcomes() {}

    static AttemptOutcome of(int status, HeaderMap headers) {
        boolean declined = "1".equals(headers.getFirst(DECLINED_HEADER));
        return switch (status) {
            case 200 -> AttemptOutcome.COMPLETED;
            case 202 -> AttemptOutcome.PROMPT_READ;
            case 410 -> declined ? AttemptOutcome.STATE_LOST : AttemptOutcome.ERROR;
            case 429, 503, 504 -> declined ? AttemptOutcome.OVERLOADED : AttemptOutcome.ERROR;
            default -> AttemptOutcome.ERROR;
        };
    }

    /** True if the status blames the request itself, rather than the engine or the state of an earlier attempt. */
    static boolean isInvalidRequest(int status) {
        return status >= 400 && status < 500 && status != 408 && status != 410 && status != 429;
    }

    /** The outcome without a complete response; a head that proves that the attempt had no effect counts even so. */
    static AttemptOutcome ofIncomplete(AttemptOutcome outcomeOfHead, boolean neverSent) {
        if (outcomeOfHead != null && outcomeOfHead != AttemptOutcome.PROMPT_READ && outcomeOfHead.provesNoEffect())
            return outcomeOfHead;
        return neverSent ? AttemptOutcome.UNREACHABLE : AttemptOutcome.RESET;
    }
}
