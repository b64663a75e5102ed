package maplerail.config;

/** Configuration that cannot be used; the message names the key. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Makes one with a line for the operators. */
    public ConfigException(String message) {
        super(message);
    }
}
