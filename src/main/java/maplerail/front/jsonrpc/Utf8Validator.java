package maplerail.front.jsonrpc;

/** Validates UTF-8 a byte at a time (RFC 3629, section 4), so that text is rejected at the first byte that breaks it. */
final class Utf8Validator {
    private static final int MIN_CONTINUATION = 0x80;
    private static final int MAX_CONTINUATION = 0xbf;

    private int missingBytes; // of the current character
    private int minNext = MIN_CONTINUATION; // of the current character's next byte
    private int maxNext = MAX_CONTINUATION;

    /** Takes the next byte, from 0 to 255; false if no UTF-8 text has it there. Nothing may follow such a byte. */
    boolean accept(int next) {
        return missingBytes == 0 ? acceptFirst(next) : acceptContinuation(next);
    }

    /** True if the text may end here. */
    boolean isComplete() {
        return missingBytes == 0;
    }

    private boolean acceptFirst(int next) {
        if (next >= 0xc2 && next <= 0xdf) missingBytes = 1;
        else if (next >= 0xe0 && next <= 0xef) missingBytes = 2;
        else if (next >= 0xf0 && next <= 0xf4) missingBytes = 3;
        else return next < 0x80;
        switch (next) {
            case 0xe0 -> minNext = 0xa0; // less would be a longer form of a shorter character
            case 0xed -> maxNext = 0x9f; // more would be a surrogate
            case 0xf0 -> minNext = 0x90;
            case 0xf4 -> maxNext = 0x8f; // more would be beyond U+10FFFF
            default -> {}
        }
        return true;
    }

    private boolean acceptContinuation(int next) {
        if (next < minNext || next > maxNext) return false;
        minNext = MIN_CONTINUATION;
        maxNext = MAX_CONTINUATION;
        missingBytes--;
        return true;
    }
}
