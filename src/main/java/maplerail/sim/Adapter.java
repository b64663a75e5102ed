package maplerail.sim;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import maplerail.config.ConfigException;
import maplerail.routing.d2lpm.D2lpmPolicy;

/** Decides on the simulator's wire. */
public final class Adapter {
    private Adapter() {}

    /** Answers batches until the input ends: 0 at its end, 1 for input that cannot be read. */
    public static int run(InputStream in, OutputStream out, PrintStream errors) {
        try {
            new Host(D2lpmPolicy::new).serve(in, out);
            return 0;
        } catch (WireException | ConfigException | IOException e) {
            errors.println("maplerail: " + e.getMessage());
            return 1;
        }
    }
}
