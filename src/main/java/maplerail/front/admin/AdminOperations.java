package maplerail.front.admin;

import java.util.List;
import maplerail.metrics.Metrics.Figure;

/**
 * The operations available to operators. Called on the admin listener's thread; they must not wait for the main loop.
 */
public interface AdminOperations {
    /** True once the process can serve requests, until it is asked to stop. */
    boolean canServe();

    /** The current values of all metrics. */
    List<Figure> metricValues();

    /** Enters or leaves the lame duck phase; false if the process is stopping already. */
    boolean setLameDuck(boolean on);
}
