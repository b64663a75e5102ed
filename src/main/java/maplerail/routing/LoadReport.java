package maplerail.routing;

/**
 * The load that an engine reports with an answer.
 *
 * @param memoryShare the share of its memory that is in use, 0 to 1; NaN if it was not reported
 */
public record LoadReport(double memoryShare) {
    /** A report without a value. */
    public static final LoadReport NONE = new LoadReport(Double.NaN);
}
