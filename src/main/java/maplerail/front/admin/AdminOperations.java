package maplerail.front.admin;

import java.util.List;
import maplerail.metrics.Metrics.Figure;

/** What operators may ask of the program. Called on the admin door's own thread, and answered without the main loop. */
public interface AdminOperations {
    /** True once the program can serve, until it is told to stop. */
    boolean canServe();

    /** All figures now. */
    List<Figure> metricValues();

    /** Sends clients away, or takes that back; false where the program is stopping anyway. */
    boolean setLameDuck(boolean on);
}
