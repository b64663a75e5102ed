package maplerail.sim;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import maplerail.Logic;

/** The command line: {@code drill} decides on the simulator's wire. */
public final class Main {
    private static final int BUFFER = 1 << 16;

    private Main() { }

    /** Starts the command and exits with its status. */
    public static void main(String[] args) {
        InputStream in = new BufferedInputStream(new FileInputStream(FileDescriptor.in), BUFFER);
        OutputStream out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), BUFFER);
        int status = run(args, in, out, System.err);
        System.err.flush();
        System.exit(status);
    }

    /** Runs the command on the given streams: 0 at the end of input, 1 for bad input, 2 for bad usage. */
    static int run(String[] args, InputStream in, OutputStream out, PrintStream errors) {
        if (args.length != 1 || !args[0].equals("drill")) {
            errors.println("usage: maplerail drill");
            return 2;
        }
        try {
            new Host(Logic::new).serve(in, out);
            return 0;
        } catch (WireException | IOException e) {
            errors.println("maplerail: " + e.getMessage());
            return 1;
        }
    }
}
