package io.fireflywalk.daemon;

import java.lang.reflect.Proxy;
import org.jboss.logging.Logger;

/** Handles SIGHUP, at which the JVM would otherwise end. */
final class HangUpSignal {
    private static final Logger LOG = Logger.getLogger(HangUpSignal.class);
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";
    private static final String NAME = "HUP";

    private HangUpSignal() {}

    /** Runs the action, on a thread of the JVM, at each SIGHUP. */
    static void handle(Runnable action) {
        // By reflection, because the compiler warns of every direct use of this class and has no way to permit it.
        try {
            Class<?> signalClass = Class.forName(SIGNAL_CLASS);
            Class<?> handlerClass = Class.forName(HANDLER_CLASS);
            Object handler = Proxy.newProxyInstance(
                    HangUpSignal.class.getClassLoader(), new Class<?>[] {handlerClass}, (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                        }
                        return null;
                    });
            Object signal = signalClass.getConstructor(String.class).newInstance(NAME);
            signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
        } catch (ReflectiveOperationException exception) {
            LOG.warnf("event=signal_not_handled signal=%s cause=\"%s\"", NAME, exception);
        }
    }
}
