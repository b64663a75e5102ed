package maplerail.server;

import java.lang.reflect.Proxy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles SIGHUP, which would end the process otherwise. The class for signals is in no standard package, so it is looked up
 * by name; where it is missing the program runs without reloads.
 */
public final class SignalHandlers {
    private static final Logger LOG = LoggerFactory.getLogger(SignalHandlers.class);

    private SignalHandlers() {}

    /** Runs a task at each SIGHUP from now on, on a thread of its own. */
    public static void onHangup(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object hangup = signal.getConstructor(String.class).newInstance("HUP");
            Object previous = signal.getMethod("handle", signal, handler).invoke(null, hangup, proxy(handler, task));
            // The virtual machine leaves a signal alone that was ignored when it started; only the return value tells.
            if (handler.getField("SIG_IGN").get(null).equals(previous)) {
                LOG.warn("SIGHUP is ignored by whoever started the program (nohup, for one) and will not be heard: "
                        + "start it by 'env --default-signal=HUP,TERM'");
            }
        } catch (ReflectiveOperationException e) {
            LOG.warn("SIGHUP will not be heard", e);
        }
    }

    private static Object proxy(Class<?> handler, Runnable task) {
        return Proxy.newProxyInstance(
                SignalHandlers.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                    if (method.getName().equals("handle")) task.run();
                    return null;
                });
    }
}
